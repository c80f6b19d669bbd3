package org.lycheeroad.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.standins.StandIn;
import org.lycheeroad.standins.platform.KeyValueState.Response;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/** Stand-in for the platform's metadata store. */
public final class StoreServer implements StandIn {
    /** How the store handles calls. */
    public enum Mode {
        SERVING,
        /** Rejects all calls with status 503. */
        BUSY,
        /** Neither processes nor answers calls. */
        UNRESPONSIVE,
        /** Processes all calls but does not answer transactions. */
        DROPPING_WRITE_RESPONSES
    }

    /** A long-polling watch that waits for a change after a revision. */
    private record PendingWatch(
            HttpCall call, String prefix, long after, ScheduledFuture<?> timeout) {}

    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final long LEASE_CHECK_INTERVAL_MS = 20;

    private final EventLoopGroup mEventLoops;
    private final HttpServer mServer;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final KeyValueState mState = new KeyValueState();
    private final List<PendingWatch> mPendingWatches = new ArrayList<>();
    private ScheduledFuture<?> mLeaseCheck;
    private volatile Mode mMode = Mode.SERVING;
    private volatile boolean mLeasesPaused;

    public StoreServer(HostPort listen, EventLoopGroup eventLoops) {
        mEventLoops = eventLoops;
        mServer = new HttpServer(listen, eventLoops, MAX_BODY_BYTES, this::handle);
    }

    @Override
    public void start() throws IOException {
        mServer.start();
        mLeaseCheck =
                mEventLoops
                        .next()
                        .scheduleAtFixedRate(
                                this::expireLeases,
                                LEASE_CHECK_INTERVAL_MS,
                                LEASE_CHECK_INTERVAL_MS,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        if (mLeaseCheck != null) {
            mLeaseCheck.cancel(false);
        }
        mServer.stop();
    }

    @Override
    public HostPort address() {
        return mServer.address();
    }

    /** Sets how the store handles calls. */
    public void setMode(Mode mode) {
        mMode = mode;
    }

    /** Returns the keys with a prefix. */
    public synchronized List<String> keys(String prefix) {
        return mState.keys(prefix);
    }

    /** Returns the text of a key, or an empty string if it does not exist. */
    public synchronized String read(String key) {
        return new String(Base64.getDecoder().decode(mState.value(key)), StandardCharsets.UTF_8);
    }

    /**
     * Writes a key without a lease or an expected revision, as the operator or an executor does.
     */
    public synchronized void write(String key, String text) {
        mState.write(
                key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
        answerChangedWatches();
    }

    /** Removes a key unconditionally, as the platform does. */
    public synchronized void remove(String key) {
        mState.remove(key);
        answerChangedWatches();
    }

    /** Discards the change history and aborts pending watches. */
    public synchronized void compact() {
        mState.compact();
        for (PendingWatch watch : mPendingWatches) {
            watch.timeout.cancel(false);
            watch.call.abort();
        }
        mPendingWatches.clear();
    }

    /** Sets whether leases last until they are ended, as they may while a store is unavailable. */
    public void setLeasesPaused(boolean paused) {
        mLeasesPaused = paused;
    }

    private synchronized void expireLeases() {
        if (mLeasesPaused) {
            return;
        }
        long revisionBefore = mState.revision();
        mState.expireLeases(monotonicMs());
        if (mState.revision() != revisionBefore) {
            answerChangedWatches();
        }
    }

    synchronized void handle(HttpCall call) {
        if (mMode == Mode.BUSY) {
            call.respondJson(503, "{}");
            return;
        }
        if (mMode == Mode.UNRESPONSIVE) {
            return;
        }
        String path = call.path();
        if (path.equals("/kv-watch")) {
            handleWatch(call);
            return;
        }
        Response response = execute(call, path);
        answerChangedWatches();
        boolean isTransaction = path.equals("/kv-txn");
        if (!(isTransaction && mMode == Mode.DROPPING_WRITE_RESPONSES)) {
            call.respondJson(response.status(), response.body().toString());
        }
    }

    private Response execute(HttpCall call, String path) {
        if (path.equals("/kv-key")) {
            return mState.read(call.parameter("key"));
        } else if (path.equals("/kv-range")) {
            return mState.list(call.parameter("path_prefix"), call.parameter("after"));
        } else if (path.equals("/kv-txn")) {
            return mState.commit(parseBody(call));
        } else if (path.equals("/kv-lease")) {
            return mState.grantLease(parseBody(call).path("ttl_ms").asLong(), monotonicMs());
        } else if (path.startsWith("/kv-keep/")) {
            return mState.renewLease(lastNumber(path), monotonicMs());
        } else if (path.startsWith("/kv-lease-end/")) {
            return mState.endLease(lastNumber(path));
        }
        return new Response(404, mMapper.createObjectNode());
    }

    private void handleWatch(HttpCall call) {
        String prefix = call.parameter("path_prefix");
        long after = Long.parseLong(call.parameter("after"));
        Response changes = mState.changesAfter(prefix, after);
        if (changes != null) {
            call.respondJson(changes.status(), changes.body().toString());
            return;
        }
        long waitMs = Long.parseLong(call.parameter("wait_ms"));
        ScheduledFuture<?> timeout =
                mEventLoops
                        .next()
                        .schedule(() -> answerWatchAtTimeout(call), waitMs, TimeUnit.MILLISECONDS);
        mPendingWatches.add(new PendingWatch(call, prefix, after, timeout));
    }

    private synchronized void answerWatchAtTimeout(HttpCall call) {
        if (mPendingWatches.removeIf(watch -> watch.call == call) && mMode == Mode.SERVING) {
            call.respondJson(200, mState.emptyChanges().body().toString());
        }
    }

    private void answerChangedWatches() {
        if (mMode == Mode.UNRESPONSIVE) {
            return;
        }
        mPendingWatches.removeIf(
                watch -> {
                    Response changes = mState.changesAfter(watch.prefix, watch.after);
                    if (changes == null) {
                        return false;
                    }
                    watch.timeout.cancel(false);
                    watch.call.respondJson(changes.status(), changes.body().toString());
                    return true;
                });
    }

    private JsonNode parseBody(HttpCall call) {
        try {
            return mMapper.readTree(call.text());
        } catch (IOException e) {
            return mMapper.createObjectNode();
        }
    }

    private static long lastNumber(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static long monotonicMs() {
        return System.nanoTime() / 1_000_000;
    }
}
