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
 * Stand-in for one executor of the platform.
 *
 * <p>A task's {@code spec} controls how it behaves: {@code ms=N} sets its duration in milliseconds,
 * {@code fail} makes it fail when the duration has passed, and {@code ticketed} requires a ticket
 * from {@link PlacementAdviceServer} to start it.
 */
public final class ExecutorServer implements StandIn {
    /** The most ended runs in one response; the others follow once these are acknowledged. */
    private static final int MAX_LISTED_FINISHED_RUNS = 500;

    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long DEFAULT_DURATION_MS = 50;

    /** An attempt of a task that is running. */
    private static final class ActiveRun {
        private final String mTask;
        private final int mAttempt;
        private final long mStartedAtMs;
        private final long mDurationMs;

        ActiveRun(String task, int attempt, long startedAtMs, long durationMs) {
            mTask = task;
            mAttempt = attempt;
            mStartedAtMs = startedAtMs;
            mDurationMs = durationMs;
        }

        int percent(long nowMs) {
            return (int) Math.min(99, 100 * (nowMs - mStartedAtMs) / Math.max(1, mDurationMs));
        }
    }

    /** An attempt that has ended; it is reported until the caller acknowledges its number. */
    private record FinishedRun(long number, String task, int attempt, String outcome) {}

    /** A long-polling hold call that waits for a run to finish. */
    private record PendingPoll(HttpCall call) {}

    private final String mId;
    private final long mStartTimeMs;
    private final String mRack;
    private final String mZone;
    private final RunRecorder mRecorder;
    private final EventLoopGroup mEventLoops;
    private final HttpServer mServer;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Map<String, ActiveRun> mActiveRuns = new LinkedHashMap<>();
    private final Map<String, Integer> mHighestAttempts = new HashMap<>();
    private final List<FinishedRun> mFinishedRuns = new ArrayList<>();
    private final List<PendingPoll> mPendingPolls = new ArrayList<>();
    private final long mClockBaseNanos = System.nanoTime();
    private long mLastFinishedNumber;
    private int mStartedRuns;
    private long mFencingToken;
    private long mLeaseExpiryMs;
    private volatile boolean mUnresponsive;

    public ExecutorServer(
            String id,
            String rack,
            String zone,
            HostPort listen,
            EventLoopGroup eventLoops,
            RunRecorder recorder) {
        mId = id;
        mRack = rack;
        mZone = zone;
        mRecorder = recorder;
        mEventLoops = eventLoops;
        mStartTimeMs = System.currentTimeMillis();
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

    /** Returns the id of the executor in the store. */
    public String id() {
        return mId;
    }

    /** Returns the zone in which the executor runs. */
    public String zone() {
        return mZone;
    }

    /** Sets whether the executor leaves all calls unanswered; running tasks continue. */
    public void setUnresponsive(boolean unresponsive) {
        mUnresponsive = unresponsive;
    }

    /** Returns how many runs this executor has started. */
    public synchronized int startedRuns() {
        return mStartedRuns;
    }

    /** Returns the registration record that the executor writes to the store. */
    public String registration(String service, String state) {
        ObjectNode record = mMapper.createObjectNode();
        record.put("service", service).put("address", address().toString()).put("zone", mZone);
        record.put("version", "v1").put("slots", 8).put("state", state).put("cold_left_ms", 0);
        record.putObject("capacity").put("cpu", 16_000).put("mem_mb", 32_768).put("gpu", 8);
        record.putArray("labels").add("a").add(mRack);
        record.put("born", mStartTimeMs).put("seq", 1);
        return record.toString();
    }

    private synchronized void handle(HttpCall call) {
        if (mUnresponsive) {
            return;
        }
        JsonNode body;
        try {
            body = mMapper.readTree(call.text());
        } catch (IOException e) {
            call.respondJson(400, "{}");
            return;
        }
        String expectedInstance = call.header("X-Lycheeroad-Expect-Instance");
        if (!expectedInstance.isEmpty() && !expectedInstance.equals(mId)) {
            call.respondJson(421, "{}");
            return;
        }
        if (body.path("fencing_token").asLong() < mFencingToken) {
            answerRefusal(call, "fence");
            return;
        }
        mFencingToken = body.path("fencing_token").asLong();
        finishRunsWithExpiredLease();
        switch (call.path()) {
            case "/run-start" -> handleStart(call, body);
            case "/run-stop" -> handleStop(call, body);
            case "/hold" -> handleHold(call, body);
            case "/pace" -> call.respondJson(200, clockJson().toString());
            default -> call.respondJson(404, "{}");
        }
    }

    private void handleStart(HttpCall call, JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        long expiresMs = body.path("expires_ms").asLong();
        ActiveRun activeRun = mActiveRuns.get(task);
        if (activeRun != null && activeRun.mAttempt == attempt) {
            mLeaseExpiryMs = Math.max(mLeaseExpiryMs, expiresMs);
            call.respondJson(200, clockJson().toString());
            return;
        }
        if (activeRun != null || attempt <= mHighestAttempts.getOrDefault(task, 0)) {
            answerRefusal(call, "old");
            return;
        }
        if (expiresMs <= clockMs()) {
            answerRefusal(call, "late");
            return;
        }
        String spec = body.path("spec").asText();
        if (spec.contains("ticketed") && !hasTicket(task, body.path("ticket").asText())) {
            answerRefusal(call, "ticket");
            return;
        }
        mLeaseExpiryMs = Math.max(mLeaseExpiryMs, expiresMs);
        ActiveRun run = new ActiveRun(task, attempt, clockMs(), durationMs(spec));
        mActiveRuns.put(task, run);
        mHighestAttempts.put(task, attempt);
        mStartedRuns++;
        mRecorder.onStart(task);
        String outcome = spec.contains("fail") ? "failed" : "done";
        mEventLoops
                .next()
                .schedule(
                        () -> finishAfterDuration(run, outcome),
                        run.mDurationMs,
                        TimeUnit.MILLISECONDS);
        call.respondJson(200, clockJson().toString());
    }

    private boolean hasTicket(String task, String ticket) {
        String step = task.substring(0, task.lastIndexOf('.'));
        return PlacementAdviceServer.isAllowed(mId)
                && ticket.equals(PlacementAdviceServer.ticketFor(mId, step));
    }

    private void handleStop(HttpCall call, JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        mHighestAttempts.merge(task, attempt, Math::max);
        ActiveRun run = mActiveRuns.get(task);
        if (run != null && run.mAttempt <= attempt) {
            finish(run, "stopped");
        }
        call.respondJson(200, clockJson().toString());
    }

    private void handleHold(HttpCall call, JsonNode body) {
        long observed = body.path("observed").asLong();
        mFinishedRuns.removeIf(
                finishedRun -> {
                    boolean acknowledged = finishedRun.number <= observed;
                    if (acknowledged && finishedRun.outcome.equals("done")) {
                        mRecorder.onSuccessAcknowledged(finishedRun.task);
                    }
                    return acknowledged;
                });
        mLeaseExpiryMs = Math.max(mLeaseExpiryMs, body.path("expires_ms").asLong());
        long waitMs = body.path("wait_ms").asLong();
        if (waitMs == 0 || !mFinishedRuns.isEmpty()) {
            call.respondJson(200, runsJson().toString());
            return;
        }
        PendingPoll poll = new PendingPoll(call);
        mPendingPolls.add(poll);
        mEventLoops.next().schedule(() -> answerPollAtTimeout(poll), waitMs, TimeUnit.MILLISECONDS);
    }

    private synchronized void finishAfterDuration(ActiveRun run, String outcome) {
        finishRunsWithExpiredLease();
        if (mActiveRuns.get(run.mTask) == run) {
            finish(run, outcome);
        }
    }

    private synchronized void answerPollAtTimeout(PendingPoll poll) {
        if (mPendingPolls.remove(poll) && !mUnresponsive) {
            finishRunsWithExpiredLease();
            poll.call.respondJson(200, runsJson().toString());
        }
    }

    private void finishRunsWithExpiredLease() {
        if (clockMs() > mLeaseExpiryMs) {
            List.copyOf(mActiveRuns.values()).forEach(run -> finish(run, "lapsed"));
        }
    }

    private void finish(ActiveRun run, String outcome) {
        mActiveRuns.remove(run.mTask);
        mRecorder.onEnd(run.mTask);
        mFinishedRuns.add(new FinishedRun(++mLastFinishedNumber, run.mTask, run.mAttempt, outcome));
        if (!mUnresponsive) {
            String runs = runsJson().toString();
            mPendingPolls.forEach(poll -> poll.call.respondJson(200, runs));
            mPendingPolls.clear();
        }
    }

    private ObjectNode runsJson() {
        ObjectNode body = clockJson();
        body.put("born", mStartTimeMs);
        ArrayNode runningArray = body.putArray("running");
        for (ActiveRun run : mActiveRuns.values()) {
            runningArray
                    .addArray()
                    .add(run.mTask)
                    .add(run.mAttempt)
                    .add("")
                    .add(run.percent(clockMs()))
                    .add(0);
        }
        ArrayNode finishedArray = body.putArray("finished");
        int listed = Math.min(MAX_LISTED_FINISHED_RUNS, mFinishedRuns.size());
        for (FinishedRun finishedRun : mFinishedRuns.subList(0, listed)) {
            finishedArray
                    .addArray()
                    .add(finishedRun.number)
                    .add(finishedRun.task)
                    .add(finishedRun.attempt)
                    .add(finishedRun.outcome)
                    .add("");
        }
        return body;
    }

    private void answerRefusal(HttpCall call, String reason) {
        call.respondJson(409, clockJson().put("reason", reason).toString());
    }

    private ObjectNode clockJson() {
        return mMapper.createObjectNode().put("clock_ms", clockMs());
    }

    private long clockMs() {
        return (System.nanoTime() - mClockBaseNanos) / 1_000_000 + 1_000;
    }

    private static long durationMs(String spec) {
        for (String option : spec.split(" ", -1)) {
            if (option.startsWith("ms=")) {
                return Long.parseLong(option.substring("ms=".length()));
            }
        }
        return DEFAULT_DURATION_MS;
    }
}
