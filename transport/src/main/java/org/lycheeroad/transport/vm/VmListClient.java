package org.lycheeroad.transport.vm;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.protocol.vm.VmInfo;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpClient;

/**
 * Reads the platform's list of VMs.
 *
 * <p>Reads are conditional on the entity tag of the list read last, since the whole list is
 * hundreds of kilobytes at the size to design for and changes only a few times an hour.
 */
public final class VmListClient {
    private static final byte[] EMPTY_BODY = {};
    private static final int NOT_MODIFIED = 304;

    private final HttpClient mHttp;
    private final HostPort mAddress;
    private volatile CachedList mCached = new CachedList("", List.of());

    /** Creates a client of the list served at the address. */
    public VmListClient(HttpClient http, HostPort address) {
        mHttp = http;
        mAddress = address;
    }

    /** Returns the whole list; fails if no whole answer arrives within the timeout. */
    public CompletableFuture<List<VmInfo>> fetchVms(long timeoutMillis) {
        CachedList known = mCached;
        Map<String, String> headers =
                known.entityTag().isEmpty() ? Map.of() : Map.of("If-None-Match", known.entityTag());
        return mHttp.call(mAddress, "GET", "/v1/vms", headers, EMPTY_BODY, timeoutMillis)
                .thenApply(answer -> parseResponse(answer, known));
    }

    private List<VmInfo> parseResponse(BufferedHttpResponse answer, CachedList known) {
        if (answer.status() == NOT_MODIFIED && !known.entityTag().isEmpty()) {
            return known.vms();
        }
        if (answer.status() != 200) {
            throw new CompletionException(new IOException("VM list: status " + answer.status()));
        }
        try {
            List<VmInfo> vms = List.of(Json.read(answer.text(), VmInfo[].class));
            mCached = new CachedList(answer.header("ETag"), vms);
            return vms;
        } catch (JsonException e) {
            throw new CompletionException(e);
        }
    }

    /** The list read last and its entity tag, which is empty if the server sends none. */
    private record CachedList(String entityTag, List<VmInfo> vms) {}
}
