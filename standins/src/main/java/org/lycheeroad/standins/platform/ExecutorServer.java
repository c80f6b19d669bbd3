package org.lycheeroad.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.standins.StandIn;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/**
 * Stands in for one executor of the platform.
 *
 * <p>A task's {@code spec} says how it behaves: {@code ms=N} is its duration, {@code fail} makes it
 * fail at its end, and with {@code ticketed} its start needs a ticket of {@link AdviceServer}.
 */
public final class ExecutorServer implements StandIn {
    private static final int MAX_BODY = 1 << 20;
    private static final long DEFAULT_MS = 50;

    /** A run that is present. */
    private static final class Present {
        private final String mTask;
        private final int mAttempt;

        Present(String task, int attempt) {
            mTask = task;
            mAttempt = attempt;
        }
    }

    /** A run that ended. */
    private record End(long number, String task, int attempt, String how) {}

    /** A look that waits for an end. */
    private record WaitingLook(HttpCall call) {}

    private final String mId;
    private final long mBornMs;
    private final String mRack;
    private final RunBook mBook;
    private final EventLoopGroup mLoop;
    private final HttpServer mServer;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Map<String, Present> mRunning = new LinkedHashMap<>();
    private final Map<String, Integer> mHighest = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private final List<WaitingLook> mLooks = new ArrayList<>();
    private final long mClockBase = System.nanoTime();
    private long mEndNumber;
    private long mFence;
    private long mLeaseUntil;
    private volatile boolean mSilent;

    public ExecutorServer(
            String id, String rack, HostPort listen, EventLoopGroup loop, RunBook book) {
        mId = id;
        mRack = rack;
        mBook = book;
        mLoop = loop;
        mBornMs = System.currentTimeMillis();
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

    /** Returns the id under which the executor registers. */
    public String id() {
        return mId;
    }

    /** Makes the executor answer nothing, or answer again; what runs goes on. */
    public void setSilent(boolean silent) {
        mSilent = silent;
    }

    /** Returns the entry that the executor writes about itself. */
    public String entry(String service, String state) {
        ObjectNode entry = mMapper.createObjectNode();
        entry.put("service", service).put("address", address().toString()).put("zone", "z1");
        entry.put("version", "v1").put("slots", 8).put("state", state).put("cold_left_ms", 0);
        entry.putObject("capacity").put("cpu", 16_000).put("mem_mb", 32_768).put("gpu", 8);
        entry.putArray("labels").add("a").add(mRack);
        entry.put("born", mBornMs).put("seq", 1);
        return entry.toString();
    }

    private synchronized void handle(HttpCall call) {
        if (mSilent) {
            return;
        }
        JsonNode body;
        try {
            body = mMapper.readTree(call.text());
        } catch (IOException e) {
            call.respondJson(400, "{}");
            return;
        }
        String intended = call.header("X-Lycheeroad-Expect-Instance");
        if (!intended.isEmpty() && !intended.equals(mId)) {
            call.respondJson(421, "{}");
            return;
        }
        if (body.path("fencing_token").asLong() < mFence) {
            refuse(call, "fence");
            return;
        }
        mFence = body.path("fencing_token").asLong();
        lapse();
        switch (call.path()) {
            case "/run-start" -> startRun(call, body);
            case "/run-stop" -> stopRun(call, body);
            case "/hold" -> hold(call, body);
            case "/pace" -> call.respondJson(200, clock().toString());
            default -> call.respondJson(404, "{}");
        }
    }

    private void startRun(HttpCall call, JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        long expires = body.path("expires_ms").asLong();
        Present present = mRunning.get(task);
        if (present != null && present.mAttempt == attempt) {
            mLeaseUntil = Math.max(mLeaseUntil, expires);
            call.respondJson(200, clock().toString());
            return;
        }
        if (present != null || attempt <= mHighest.getOrDefault(task, 0)) {
            refuse(call, "old");
            return;
        }
        if (expires <= clockMs()) {
            refuse(call, "late");
            return;
        }
        String spec = body.path("spec").asText();
        if (spec.contains("ticketed") && !hasTicket(task, body.path("ticket").asText())) {
            refuse(call, "ticket");
            return;
        }
        mLeaseUntil = Math.max(mLeaseUntil, expires);
        Present run = new Present(task, attempt);
        mRunning.put(task, run);
        mHighest.put(task, attempt);
        mBook.onStart(task);
        String how = spec.contains("fail") ? "failed" : "done";
        mLoop.next().schedule(() -> endLater(run, how), durationMs(spec), TimeUnit.MILLISECONDS);
        call.respondJson(200, clock().toString());
    }

    private boolean hasTicket(String task, String ticket) {
        String step = task.substring(0, task.lastIndexOf('.'));
        return AdviceServer.allows(mId) && ticket.equals(AdviceServer.ticket(mId, step));
    }

    private void stopRun(HttpCall call, JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        mHighest.merge(task, attempt, Math::max);
        Present run = mRunning.get(task);
        if (run != null && run.mAttempt <= attempt) {
            end(run, "stopped");
        }
        call.respondJson(200, clock().toString());
    }

    private void hold(HttpCall call, JsonNode body) {
        long observed = body.path("observed").asLong();
        mEnds.removeIf(
                end -> {
                    boolean forget = end.number <= observed;
                    if (forget && end.how.equals("done")) {
                        mBook.onDoneNoted(end.task);
                    }
                    return forget;
                });
        mLeaseUntil = Math.max(mLeaseUntil, body.path("expires_ms").asLong());
        long wait = body.path("wait_ms").asLong();
        if (wait == 0 || !mEnds.isEmpty()) {
            call.respondJson(200, lists().toString());
            return;
        }
        WaitingLook look = new WaitingLook(call);
        mLooks.add(look);
        mLoop.next().schedule(() -> endLook(look), wait, TimeUnit.MILLISECONDS);
    }

    private synchronized void endLater(Present run, String how) {
        lapse();
        if (mRunning.get(run.mTask) == run) {
            end(run, how);
        }
    }

    private synchronized void endLook(WaitingLook look) {
        if (mLooks.remove(look) && !mSilent) {
            lapse();
            look.call.respondJson(200, lists().toString());
        }
    }

    private void lapse() {
        if (clockMs() > mLeaseUntil) {
            List.copyOf(mRunning.values()).forEach(run -> end(run, "lapsed"));
        }
    }

    private void end(Present run, String how) {
        mRunning.remove(run.mTask);
        mBook.onEnd(run.mTask);
        mEnds.add(new End(++mEndNumber, run.mTask, run.mAttempt, how));
        if (!mSilent) {
            String lists = lists().toString();
            mLooks.forEach(look -> look.call.respondJson(200, lists));
            mLooks.clear();
        }
    }

    private ObjectNode lists() {
        ObjectNode body = clock();
        body.put("born", mBornMs);
        ArrayNode running = body.putArray("running");
        for (Present run : mRunning.values()) {
            running.addArray().add(run.mTask).add(run.mAttempt).add("").add(50).add(0);
        }
        ArrayNode finished = body.putArray("finished");
        for (End end : mEnds) {
            finished.addArray().add(end.number).add(end.task).add(end.attempt).add(end.how).add("");
        }
        return body;
    }

    private void refuse(HttpCall call, String reason) {
        call.respondJson(409, clock().put("reason", reason).toString());
    }

    private ObjectNode clock() {
        return mMapper.createObjectNode().put("clock_ms", clockMs());
    }

    private long clockMs() {
        return (System.nanoTime() - mClockBase) / 1_000_000 + 1_000;
    }

    private static long durationMs(String spec) {
        for (String word : spec.split(" ", -1)) {
            if (word.startsWith("ms=")) {
                return Long.parseLong(word.substring("ms=".length()));
            }
        }
        return DEFAULT_MS;
    }
}
