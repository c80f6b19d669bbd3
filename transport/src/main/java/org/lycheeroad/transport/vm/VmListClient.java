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
 * Fetches the platform's list of VMs.
 *
 * <p>Requests are conditional on the entity tag of the last list, since at the designed cluster
 * size the list is hundreds of kilobytes long and changes only a few times an hour.
 */
public final class VmListClient {
    private static final byte[] EMPTY_BODY = {};
    private static final int NOT_MODIFIED = 304;

    private final HttpClient mHttp;
    private final HostPort mAddress;
    private volatile CachedList mCached = new CachedList("", List.of());

    /** Creates a client for the server at the address. */
    public VmListClient(HttpClient http, HostPort address) {
        mHttp = http;
        mAddress = address;
    }

    /** Returns the current list; fails if no complete response arrives within the timeout. */
    public CompletableFuture<List<VmInfo>> fetchVms(long timeoutMs) {
        CachedList cached = mCached;
        Map<String, String> headers =
                cached.entityTag().isEmpty()
                        ? Map.of()
                        : Map.of("If-None-Match", cached.entityTag());
        return mHttp.call(mAddress, "GET", "/v1/vms", headers, EMPTY_BODY, timeoutMs)
                .thenApply(response -> parseResponse(response, cached));
    }

    private List<VmInfo> parseResponse(BufferedHttpResponse response, CachedList cached) {
        if (response.status() == NOT_MODIFIED && !cached.entityTag().isEmpty()) {
            return cached.vms();
        }
        if (response.status() != 200) {
            throw new CompletionException(
                    new IOException("VM list server responded with status " + response.status()));
        }
        try {
            List<VmInfo> vms = List.of(Json.read(response.text(), VmInfo[].class));
            mCached = new CachedList(response.header("ETag"), vms);
            return vms;
        } catch (JsonException e) {
            throw new CompletionException(e);
        }
    }

    /** The last list and its entity tag, which is empty if the server sent none. */
    private record CachedList(String entityTag, List<VmInfo> vms) {}
}
