package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for an executor that does not guard its capacity.
 *
 * <p>The spec of a job says what its tasks do: {@code ms=N} is their duration, {@code fail} makes
 * them fail after it, and {@code lasts} lets them run until they are stopped.
 */
final class Executor {
    /** Returns for how long an order is held up; 0 to carry it out and answer it at once. */
    interface Delay {
        long ms(String path, String task);
    }

    private static final long HEARTBEAT_MS = 1_500;
    private static final long STOP_MS = 100;
    private static final int FINISHED_ROWS = 500;

    private static final class Run {
        String mTask;
        int mAttempt;
        String mSpec;
        long mStartedAtMs;
        long mEndsAtMs;
        String mEnd;
    }

    private record End(long number, Run run) {}

    private final String mId;
    private final String mKind;
    private final String mRack;
    private final int mCpu;
    private final long mHoldMaxMs;
    private final Store mStore;
    private final Ledger mLedger;
    private final HttpServer mServer;
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final Map<String, Integer> mHighest = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private final long mBornMs = System.currentTimeMillis();
    private final long mBootNanos = System.nanoTime();
    private long mLastEnd;
    private long mFence;
    private long mLeaseMs;
    private long mSeq;
    private boolean mLapsed = true;
    private volatile boolean mDown;
    private volatile long mLeavesAtNanos;
    private volatile Delay mDelay = (path, task) -> 0;

    Executor(
            String id,
            String kind,
            String rack,
            int cpu,
            long holdMaxMs,
            Store store,
            Ledger ledger)
            throws IOException {
        mId = id;
        mKind = kind;
        mRack = rack;
        mCpu = cpu;
        mHoldMaxMs = holdMaxMs;
        mStore = store;
        mLedger = ledger;
        mServer = Http.serve(0, this::handle);
        mTimer.scheduleAtFixedRate(this::tick, 10, 10, TimeUnit.MILLISECONDS);
        mTimer.scheduleAtFixedRate(this::beat, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    String id() {
        return mId;
    }

    void setDelay(Delay delay) {
        mDelay = delay;
    }

    /** Reports that the executor is draining, and lets it leave for good some time later. */
    void leave(long remainingMs, long staysMs) {
        mLeavesAtNanos = System.nanoTime() + remainingMs * 1_000_000;
        mLedger.note("%s is draining", mId);
        beat();
        Http.sleep(staysMs);
        synchronized (this) {
            mDown = true;
            mRunning.values().forEach(run -> mLedger.end(mId, run.mTask, run.mAttempt, "gone"));
            mRunning.clear();
            mLedger.note("%s leaves", mId);
        }
        mStore.remove("servers/" + mId);
    }

    private long clockMs() {
        return (System.nanoTime() - mBootNanos) / 1_000_000 + 1_000;
    }

    private void beat() {
        if (mDown) {
            return;
        }
        ObjectNode entry = Http.JSON.createObjectNode();
        synchronized (this) {
            entry.put("service", Cluster.SERVICE);
            entry.put("address", "127.0.0.1:" + mServer.getAddress().getPort());
            entry.put("zone", "z1").put("version", "v1").put("slots", 8);
            entry.put("state", mLeavesAtNanos == 0 ? "ready" : "draining");
            if (mLeavesAtNanos != 0) {
                long leftMs = (mLeavesAtNanos - System.nanoTime()) / 1_000_000;
                entry.put("remaining_ms", Math.max(0, leftMs));
            }
            entry.put("cold_left_ms", 0);
            entry.putObject("capacity").put("cpu", mCpu).put("mem_mb", 262_144).put("gpu", 8);
            entry.putArray("labels").add(mKind).add(mRack);
            entry.put("clock_ms", clockMs()).put("born", mBornMs).put("seq", ++mSeq);
        }
        mStore.write("servers/" + mId, entry.toString());
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode body = Http.body(exchange);
        String path = exchange.getRequestURI().getPath();
        String instance = exchange.getRequestHeaders().getFirst("X-Lycheeroad-Expect-Instance");
        String task = body.path("task").asText();
        if (mDown) {
            exchange.close();
            return;
        }
        if (instance != null && !instance.equals(mId)) {
            Http.respond(exchange, 421, Http.JSON.createObjectNode());
            return;
        }
        long delayMs = mDelay.ms(path, task);
        if (delayMs > 0) {
            mLedger.note("%s leaves %s %s unanswered", mId, path, body);
            Http.sleep(delayMs);
            ObjectNode late = Http.JSON.createObjectNode();
            int status = mDown ? 0 : carryOut(path, body, late);
            mLedger.note("%s carries out late %s %s: %d %s", mId, path, body, status, late);
            exchange.close();
            return;
        }
        ObjectNode answer = Http.JSON.createObjectNode();
        int status = carryOut(path, body, answer);
        Http.respond(exchange, status, answer);
    }

    private synchronized int carryOut(String path, JsonNode body, ObjectNode answer) {
        long token = body.path("fencing_token").asLong();
        if (token < mFence) {
            answer.put("clock_ms", clockMs()).put("reason", "fence");
            return 409;
        }
        mFence = token;
        int status =
                switch (path) {
                    case "/run-start" -> start(body, answer);
                    case "/run-stop" -> stop(body);
                    case "/hold" -> hold(body, answer);
                    case "/pace" -> 200;
                    default -> 404;
                };
        answer.put("clock_ms", clockMs());
        return status;
    }

    private int start(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        long expiresMs = body.path("expires_ms").asLong();
        if (expiresMs <= clockMs()) {
            answer.put("reason", "late");
            return 409;
        }
        extendLease(expiresMs);
        Run present = mRunning.get(task);
        if (present != null && present.mAttempt == attempt) {
            return 200;
        }
        if (attempt <= mHighest.getOrDefault(task, 0)) {
            answer.put("reason", "old");
            return 409;
        }
        Run run = new Run();
        run.mTask = task;
        run.mAttempt = attempt;
        run.mSpec = body.path("spec").asText();
        run.mStartedAtMs = clockMs();
        run.mEndsAtMs = run.mSpec.contains("lasts") ? Long.MAX_VALUE : clockMs() + ms(run.mSpec);
        run.mEnd = run.mSpec.contains("fail") ? "failed" : "done";
        mRunning.put(task, run);
        mLedger.start(mId, task, attempt, body.path("fencing_token").asLong());
        return 200;
    }

    private static long ms(String spec) {
        for (String word : spec.split(" ")) {
            if (word.startsWith("ms=")) {
                return Long.parseLong(word.substring(3));
            }
        }
        return 1_000;
    }

    private int stop(JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        mHighest.merge(task, attempt, Math::max);
        Run run = mRunning.get(task);
        if (run != null && run.mAttempt <= attempt && !run.mEnd.equals("stopped")) {
            run.mEnd = "stopped";
            run.mEndsAtMs = clockMs() + STOP_MS;
        }
        return 200;
    }

    private int hold(JsonNode body, ObjectNode answer) {
        long observed = body.path("observed").asLong();
        for (End end : mEnds) {
            if (end.number <= observed) {
                mLedger.noted(mId, end.run.mTask, end.run.mAttempt);
            }
        }
        mEnds.removeIf(end -> end.number <= observed);
        if (body.has("expires_ms")) {
            extendLease(body.path("expires_ms").asLong());
        }
        long untilMs = clockMs() + body.path("wait_ms").asLong();
        while (mEnds.isEmpty() && clockMs() < untilMs) {
            try {
                wait(Math.max(1, untilMs - clockMs()));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        answer.put("born", mBornMs);
        ArrayNode running = answer.putArray("running");
        for (Run run : mRunning.values()) {
            running.addArray().add(run.mTask).add(run.mAttempt).add("").add(percent(run)).add(0);
        }
        ArrayNode finished = answer.putArray("finished");
        for (End end : mEnds.subList(0, Math.min(FINISHED_ROWS, mEnds.size()))) {
            finished.addArray()
                    .add(end.number)
                    .add(end.run.mTask)
                    .add(end.run.mAttempt)
                    .add(end.run.mEnd)
                    .add("");
        }
        return 200;
    }

    private int percent(Run run) {
        if (run.mSpec.contains("lasts")) {
            return 100;
        }
        long lengthMs = Math.max(1, run.mEndsAtMs - run.mStartedAtMs);
        return (int) Math.min(99, 100 * (clockMs() - run.mStartedAtMs) / lengthMs);
    }

    private void extendLease(long expiresMs) {
        mLeaseMs = Math.max(mLeaseMs, Math.min(expiresMs, clockMs() + mHoldMaxMs));
    }

    private synchronized void tick() {
        long nowMs = clockMs();
        boolean lapsed = nowMs > mLeaseMs;
        if (lapsed && !mLapsed) {
            mLedger.lapse(mId);
        }
        mLapsed = lapsed;
        List<Run> ended = new ArrayList<>();
        for (Run run : mRunning.values()) {
            if (run.mEndsAtMs <= nowMs || lapsed) {
                run.mEnd = run.mEndsAtMs <= nowMs ? run.mEnd : "lapsed";
                ended.add(run);
            }
        }
        for (Run run : ended) {
            mRunning.remove(run.mTask);
            mHighest.merge(run.mTask, run.mAttempt, Math::max);
            mEnds.add(new End(++mLastEnd, run));
            mLedger.end(mId, run.mTask, run.mAttempt, run.mEnd);
        }
        if (!ended.isEmpty()) {
            notifyAll();
        }
    }
}
