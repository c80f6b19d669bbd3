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
 * Stands in for the platform's service for placement policies: it allows the workers whose id ends
 * in an odd digit.
 */
public final class AdviceServer implements StandIn {
    private static final int MAX_BODY = 1 << 20;
    private static final long ANSWER_MS = 20;
    private static final long VALID_MS = 3_000;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final AtomicInteger mCalls = new AtomicInteger();
    private final EventLoopGroup mLoop;
    private final HttpServer mServer;

    public AdviceServer(HostPort listen, EventLoopGroup loop) {
        mLoop = loop;
        mServer = new HttpServer(listen, loop, MAX_BODY, this::handle);
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

    /** Returns the number of calls so far. */
    public int calls() {
        return mCalls.get();
    }

    /** Returns whether a worker may run a step. */
    static boolean allows(String worker) {
        return (worker.charAt(worker.length() - 1) - '0') % 2 == 1;
    }

    /** Returns the ticket with which a worker starts tasks of a step. */
    static String ticket(String worker, String step) {
        return "t-" + worker + "-" + step;
    }

    private void handle(HttpCall call) {
        mCalls.incrementAndGet();
        JsonNode body;
        try {
            body = mMapper.readTree(call.text());
        } catch (IOException e) {
            call.respondJson(400, "{}");
            return;
        }
        String step = body.path("phase").asText();
        ObjectNode answer = mMapper.createObjectNode().put("valid_ms", VALID_MS);
        ArrayNode allowed = answer.putArray("allowed");
        for (JsonNode worker : body.path("workers")) {
            if (allows(worker.asText())) {
                allowed.addArray().add(worker.asText()).add(ticket(worker.asText(), step));
            }
        }
        String text = answer.toString();
        mLoop.next().schedule(() -> call.respondJson(200, text), ANSWER_MS, TimeUnit.MILLISECONDS);
    }
}
