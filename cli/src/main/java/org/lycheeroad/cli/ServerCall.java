package org.lycheeroad.cli;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpClient;

/** An HTTP request that can be sent to any of several equivalent servers. */
final class ServerCall {
    private static final byte[] NO_BODY = {};

    private final String mMethod;
    private final String mPath;
    private final Map<String, String> mHeaders;
    private final byte[] mBody;
    private final long mTimeoutMillis;

    /**
     * Creates a call. The timeout applies to each server that is tried, not to all of them
     * together.
     */
    ServerCall(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis) {
        mMethod = method;
        mPath = path;
        mHeaders = Map.copyOf(headers);
        mBody = body.clone();
        mTimeoutMillis = timeoutMillis;
    }

    /** Returns a call without a body and with the default timeout. */
    static ServerCall of(String method, String path, Map<String, String> headers) {
        return new ServerCall(method, path, headers, NO_BODY, CliCommand.CALL_TIMEOUT_MS);
    }

    /** Sends the call to one server; the future fails as {@link HttpClient#call} documents. */
    CompletableFuture<BufferedHttpResponse> start(HttpClient client, HostPort server) {
        return client.call(server, mMethod, mPath, mHeaders, mBody, mTimeoutMillis);
    }
}
