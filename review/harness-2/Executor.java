import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * Stand-in for an executor, as PROTOCOL.md describes it.
 *
 * <p>The spec of a task tells what its work is: {@code ms=N} for its duration, {@code lasts} for a
 * task without an end, {@code gang=N} for the members of its gang, and {@code fails=1} for a first
 * attempt that fails by its own fault when its work is done.
 */
final class Executor {
    /** What an executor does with calls. */
    enum Mode {
        SOUND,
        /** srv_grey, errors: all that it starts fails. */
        FAILS_STARTS,
        /** srv_grey, hang: calls get no answer and are not carried out. */
        HANGS,
        /** Cut off from the machines and the store; what runs goes on. */
        CUT
    }

    private static final long GREY_FAILURE_MS = 400;
    private static final long STARTUP_MS = 200;
    private static final long BEAT_MS = 1_500;
    private static final int MAX_WAIT_MS = 2_000;

    /** How many ends a look returns at a time. */
    private static final int MAX_ENDS = 500;

    private final String mId;
    private final String mService;
    private final String mKind;
    private final String mRack;
    private final int mGpu;
    private final Store mStore;
    private final Ledger mLedger;
    private final long mHoldMaxMs;
    private final long mBorn = System.currentTimeMillis();
    private final long mClockBaseNanos = System.nanoTime();
    private final ObjectMapper mMapper = new ObjectMapper();
    private final HttpServer mServer;
    private final Map<String, Ledger.Run> mRuns = new LinkedHashMap<>();
    private final Map<String, Integer> mHighestOver = new HashMap<>();
    private final List<Ledger.Run> mEnds = new ArrayList<>();
    private final Map<Ledger.Run, Long> mEndNumbers = new HashMap<>();
    private long mLastEnd;
    private long mToken;
    private long mLeaseEndsMs;
    private int mSeq;
    private Mode mMode = Mode.SOUND;
    private boolean mGone;

    Executor(
            String id,
            String service,
            String kind,
            String rack,
            int gpu,
            Store store,
            Ledger ledger,
            long holdMaxMs)
            throws IOException {
        mId = id;
        mService = service;
        mKind = kind;
        mRack = rack;
        mGpu = gpu;
        mStore = store;
        mLedger = ledger;
        mHoldMaxMs = holdMaxMs;
        mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 4096);
        mServer.setExecutor(Executors.newCachedThreadPool(Threads.daemons(id)));
        mServer.createContext("/", this::handle);
        mServer.start();
        beat();
        Threads.every(BEAT_MS, this::beat);
        Threads.every(20, this::endLease);
    }

    String id() {
        return mId;
    }

    String kind() {
        return mKind;
    }

    int gpu() {
        return mGpu;
    }

    synchronized boolean isGone() {
        return mGone;
    }

    synchronized void setMode(Mode mode) {
        mMode = mode;
        notifyAll();
    }

    /** Lost for good: everything on it ends, and its entry is removed after three silent beats. */
    void crash() {
        synchronized (this) {
            mGone = true;
            notifyAll();
            for (Ledger.Run run : List.copyOf(mRuns.values())) {
                mRuns.remove(run.task());
                mLedger.onEnd(run, "lost with its executor");
            }
        }
        mServer.stop(0);
        Threads.after(3 * BEAT_MS, () -> mStore.remove("servers/" + mId));
    }

    private void beat() {
        ObjectNode entry = mMapper.createObjectNode();
        synchronized (this) {
            if (mGone || mMode == Mode.CUT) {
                return;
            }
            entry.put("service", mService).put("address", address()).put("zone", "z1");
            entry.put("version", "v1").put("slots", 8).put("state", "ready");
            entry.put("cold_left_ms", 0).put("seq", ++mSeq).put("born", mBorn);
            entry.putObject("capacity").put("cpu", 128_000).put("mem_mb", 262_144).put("gpu", mGpu);
            entry.putArray("labels").add(mKind).add(mRack);
        }
        mStore.write("servers/" + mId, entry.toString());
    }

    private String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    private void handle(HttpExchange call) throws IOException {
        try {
            JsonNode body = mMapper.readTree(call.getRequestBody().readAllBytes());
            synchronized (this) {
                if (mMode == Mode.HANGS || mMode == Mode.CUT) {
                    while (!mGone && mMode != Mode.SOUND) {
                        wait();
                    }
                    call.close();
                    return;
                }
                dispatch(call, body);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            e.printStackTrace();
            call.close();
        }
    }

    private void dispatch(HttpExchange call, JsonNode body)
            throws IOException, InterruptedException {
        String expected = call.getRequestHeaders().getFirst("X-Lycheeroad-Expect-Instance");
        if (expected != null && !expected.equals(mId)) {
            Http.answer(call, 421, "{}");
            return;
        }
        long token = body.path("fencing_token").asLong();
        if (token < mToken) {
            refuse(call, "fence");
            return;
        }
        mToken = token;
        switch (call.getRequestURI().getPath()) {
            case "/run-start" -> start(call, body);
            case "/run-stop" -> stop(call, body);
            case "/hold" -> hold(call, body);
            case "/pace" -> Http.answer(call, 200, clock().toString());
            default -> Http.answer(call, 404, "{}");
        }
    }

    private void start(HttpExchange call, JsonNode body) throws IOException {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        long expiresMs = Math.min(body.path("expires_ms").asLong(), clockMs() + mHoldMaxMs);
        Ledger.Run running = mRuns.get(task);
        if (running != null && running.attempt() == attempt) {
            mLeaseEndsMs = Math.max(mLeaseEndsMs, expiresMs);
            Http.answer(call, 200, clock().toString());
            return;
        }
        if (running != null || attempt <= mHighestOver.getOrDefault(task, 0)) {
            mLeaseEndsMs = Math.max(mLeaseEndsMs, expiresMs);
            refuse(call, "old");
            return;
        }
        if (expiresMs <= clockMs()) {
            refuse(call, "late");
            return;
        }
        mLeaseEndsMs = Math.max(mLeaseEndsMs, expiresMs);
        Ledger.Run run =
                mLedger.onStart(this, task, attempt, body.path("spec").asText(), body.path("fencing_token").asLong());
        mRuns.put(task, run);
        Http.answer(call, 200, clock().toString());
        if (mMode == Mode.FAILS_STARTS) {
            Threads.after(GREY_FAILURE_MS, () -> end(run, "failed"));
        } else {
            mLedger.beginWork(run);
        }
    }

    private void stop(HttpExchange call, JsonNode body) throws IOException {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        mHighestOver.merge(task, attempt, Math::max);
        Ledger.Run run = mRuns.get(task);
        if (run != null && run.attempt() <= attempt) {
            end(run, "stopped");
        }
        Http.answer(call, 200, clock().toString());
    }

    private void hold(HttpExchange call, JsonNode body) throws IOException, InterruptedException {
        long observed = body.path("observed").asLong();
        for (Ledger.Run run : List.copyOf(mEnds)) {
            if (mEndNumbers.get(run) <= observed) {
                mEnds.remove(run);
                mLedger.onObserved(run);
            }
        }
        long expiresMs = body.path("expires_ms").asLong();
        if (expiresMs > 0) {
            mLeaseEndsMs =
                    Math.max(mLeaseEndsMs, Math.min(expiresMs, clockMs() + mHoldMaxMs));
        }
        long untilMs = clockMs() + Math.min(MAX_WAIT_MS, body.path("wait_ms").asLong());
        while (mEnds.isEmpty() && clockMs() < untilMs && !mGone) {
            wait(Math.max(1, untilMs - clockMs()));
        }
        if (mGone || mMode == Mode.HANGS || mMode == Mode.CUT) {
            while (!mGone && mMode != Mode.SOUND) {
                wait();
            }
            call.close();
            return;
        }
        ObjectNode answer = clock();
        answer.put("born", mBorn);
        ArrayNode running = answer.putArray("running");
        for (Ledger.Run run : mRuns.values()) {
            running.addArray()
                    .add(run.task())
                    .add(run.attempt())
                    .add("")
                    .add(run.percent(STARTUP_MS))
                    .add(0);
        }
        ArrayNode finished = answer.putArray("finished");
        for (Ledger.Run run : mEnds.subList(0, Math.min(MAX_ENDS, mEnds.size()))) {
            finished.addArray()
                    .add(mEndNumbers.get(run))
                    .add(run.task())
                    .add(run.attempt())
                    .add(run.how())
                    .add("");
        }
        Http.answer(call, 200, answer.toString());
    }

    /** Ends a run that is still there. */
    synchronized void end(Ledger.Run run, String how) {
        if (mRuns.get(run.task()) != run) {
            return;
        }
        mRuns.remove(run.task());
        mHighestOver.merge(run.task(), run.attempt(), Math::max);
        mEnds.add(run);
        mEndNumbers.put(run, ++mLastEnd);
        notifyAll();
        mLedger.onEnd(run, how);
    }

    private synchronized void endLease() {
        if (clockMs() > mLeaseEndsMs) {
            List.copyOf(mRuns.values()).forEach(run -> end(run, "lapsed"));
        }
    }

    private void refuse(HttpExchange call, String reason) throws IOException {
        Http.answer(call, 409, clock().put("reason", reason).toString());
    }

    private ObjectNode clock() {
        return mMapper.createObjectNode().put("clock_ms", clockMs());
    }

    private long clockMs() {
        return (System.nanoTime() - mClockBaseNanos) / 1_000_000 + 1_000;
    }
}
