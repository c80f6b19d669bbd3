package org.lycheeroad.entry.api;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.lycheeroad.entry.requests.RequestAdmission;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpStream;
import org.lycheeroad.transport.http.HttpStreamListener;
import org.lycheeroad.transport.http.StreamingHttpHandler;

/** HTTP API for callers: gangs, requests, health and readiness. */
public final class CallerApi implements StreamingHttpHandler {
    private static final String REQUESTS_PATH_PREFIX = "/v1/requests/";

    private final GangApi mGangApi;
    private final RequestAdmission mRequestAdmission;
    private final BooleanSupplier mReadiness;

    /** Creates the API; {@code readiness} is evaluated on each readiness check. */
    public CallerApi(
            GangApi gangApi, RequestAdmission requestAdmission, BooleanSupplier readiness) {
        mGangApi = gangApi;
        mRequestAdmission = requestAdmission;
        mReadiness = readiness;
    }

    @Override
    public boolean isStreamed(String method, String path) {
        return method.equals("POST") && path.startsWith(REQUESTS_PATH_PREFIX);
    }

    @Override
    public HttpStreamListener openStream(HttpStream stream) {
        return mRequestAdmission.admit(
                stream, stream.path().substring(REQUESTS_PATH_PREFIX.length()));
    }

    @Override
    public void handle(HttpCall call) {
        String path = call.path();
        if (path.equals("/health")) {
            respondText(call, 200, "ok\n");
        } else if (path.equals("/ready")) {
            boolean ready = mReadiness.getAsBoolean();
            respondText(call, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
        } else if (path.equals("/v1/gangs") && call.method().equals("POST")) {
            mGangApi.submit(call);
        } else if (path.startsWith(GangApi.PATH_PREFIX) && call.method().equals("GET")) {
            mGangApi.show(call, path.substring(GangApi.PATH_PREFIX.length()));
        } else if (path.startsWith(GangApi.PATH_PREFIX) && call.method().equals("DELETE")) {
            mGangApi.cancel(call, path.substring(GangApi.PATH_PREFIX.length()));
        } else {
            respondText(call, 404, "not found\n");
        }
    }

    private static void respondText(HttpCall call, int status, String text) {
        call.respond(status, "text/plain", Map.of(), text.getBytes(StandardCharsets.UTF_8));
    }
}
