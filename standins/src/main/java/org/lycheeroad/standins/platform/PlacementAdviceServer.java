package org.lycheeroad.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lycheeroad.standins.StandIn;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/**
 * Stand-in for the platform's placement-policy service. It allows the workers whose id ends in an
 * odd digit.
 */
public final class PlacementAdviceServer implements StandIn {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long RESPONSE_DELAY_MS = 20;
    private static final long VALIDITY_MS = 3_000;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final AtomicInteger mCallCount = new AtomicInteger();
    private final EventLoopGroup mEventLoops;
    private final HttpServer mServer;

    public PlacementAdviceServer(HostPort listen, EventLoopGroup eventLoops) {
        mEventLoops = eventLoops;
        mServer = new HttpServer(listen, eventLoops, MAX_BODY_BYTES, this::handle);
    }

    @Override
    public void start() throws IOException {
        mServer.start();
    }

    @Override
    public void stop() {
        mServer.stop();
    }

    @Override
    public HostPort address() {
        return mServer.address();
    }

    /** Returns the number of calls received so far. */
    public int callCount() {
        return mCallCount.get();
    }

    /** Returns whether a worker may run steps of a job. */
    static boolean isAllowed(String worker) {
        return (worker.charAt(worker.length() - 1) - '0') % 2 == 1;
    }

    /** Returns the ticket that a worker needs to start tasks of a step. */
    static String ticketFor(String worker, String step) {
        return "t-" + worker + "-" + step;
    }

    private void handle(HttpCall call) {
        mCallCount.incrementAndGet();
        JsonNode body;
        try {
            body = mMapper.readTree(call.text());
        } catch (IOException e) {
            call.respondJson(400, "{}");
            return;
        }
        String step = body.path("phase").asText();
        ObjectNode response = mMapper.createObjectNode().put("valid_ms", VALIDITY_MS);
        ArrayNode allowedWorkers = response.putArray("allowed");
        for (JsonNode worker : body.path("workers")) {
            if (isAllowed(worker.asText())) {
                allowedWorkers
                        .addArray()
                        .add(worker.asText())
                        .add(ticketFor(worker.asText(), step));
            }
        }
        String text = response.toString();
        mEventLoops
                .next()
                .schedule(
                        () -> call.respondJson(200, text),
                        RESPONSE_DELAY_MS,
                        TimeUnit.MILLISECONDS);
    }
}
