package org.lycheeroad.cli;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpAnswer;
import org.lycheeroad.transport.http.HttpClient;

/** One HTTP call that any of several equal servers can answer. */
final class ServerCall {
    private static final byte[] NO_BODY = {};

    private final String mMethod;
    private final String mPath;
    private final Map<String, String> mHeaders;
    private final byte[] mBody;
    private final long mTimeoutMillis;

    /** Creates a call; the timeout holds for each server that is tried. */
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

    /** Returns a call without a body and with the usual timeout. */
    static ServerCall of(String method, String path, Map<String, String> headers) {
        return new ServerCall(method, path, headers, NO_BODY, CliCommand.CALL_TIMEOUT_MS);
    }

    /** Starts the call to one server; failures are those of {@link HttpClient#call}. */
    CompletableFuture<HttpAnswer> start(HttpClient client, HostPort to) {
        return client.call(to, mMethod, mPath, mHeaders, mBody, mTimeoutMillis);
    }
}
