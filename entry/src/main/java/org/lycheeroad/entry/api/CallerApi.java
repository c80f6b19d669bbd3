package org.lycheeroad.entry.api;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.lycheeroad.entry.requests.RequestIntake;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpStream;
import org.lycheeroad.transport.http.HttpStreamListener;
import org.lycheeroad.transport.http.StreamingHttpHandler;

/** The callers' interface: gangs, requests, health and readiness. */
public final class CallerApi implements StreamingHttpHandler {
    private static final String REQUESTS = "/v1/requests/";

    private final GangApi mGangs;
    private final RequestIntake mRequests;
    private final BooleanSupplier mReady;

    /** Creates the interface; {@code ready} is asked on every readiness check. */
    public CallerApi(GangApi gangs, RequestIntake requests, BooleanSupplier ready) {
        mGangs = gangs;
        mRequests = requests;
        mReady = ready;
    }

    @Override
    public boolean isStreamed(String method, String path) {
        return method.equals("POST") && path.startsWith(REQUESTS);
    }

    @Override
    public HttpStreamListener openStream(HttpStream stream) {
        return mRequests.open(stream, stream.path().substring(REQUESTS.length()));
    }

    @Override
    public void handle(HttpCall call) {
        String path = call.path();
        if (path.equals("/health")) {
            answer(call, 200, "ok\n");
        } else if (path.equals("/ready")) {
            boolean ready = mReady.getAsBoolean();
            answer(call, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
        } else if (path.equals("/v1/gangs") && call.method().equals("POST")) {
            mGangs.submit(call);
        } else if (path.startsWith(GangApi.PATH) && call.method().equals("GET")) {
            mGangs.show(call, path.substring(GangApi.PATH.length()));
        } else if (path.startsWith(GangApi.PATH) && call.method().equals("DELETE")) {
            mGangs.cancel(call, path.substring(GangApi.PATH.length()));
        } else {
            answer(call, 404, "not found\n");
        }
    }

    private static void answer(HttpCall call, int status, String text) {
        call.respond(status, "text/plain", Map.of(), text.getBytes(StandardCharsets.UTF_8));
    }
}
