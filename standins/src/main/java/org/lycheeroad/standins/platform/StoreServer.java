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
import org.lycheeroad.standins.platform.KeyValueState.Answer;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/** Stands in for the platform's metadata store. */
public final class StoreServer implements StandIn {
    /** How the store treats calls. */
    public enum Mode {
        SERVING,
        /** Refuses all calls. */
        BUSY,
        /** Does nothing and answers nothing. */
        SILENT,
        /** Does what it is asked and does not answer writes. */
        LOSING_ANSWERS
    }

    /** A watch that waits for a change. */
    private record Waiting(HttpCall call, String prefix, long after, ScheduledFuture<?> timer) {}

    private static final int MAX_BODY = 4 << 20;
    private static final long EXPIRY_MS = 20;

    private final EventLoopGroup mLoop;
    private final HttpServer mServer;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final KeyValueState mState = new KeyValueState();
    private final List<Waiting> mWaiting = new ArrayList<>();
    private ScheduledFuture<?> mExpiry;
    private volatile Mode mMode = Mode.SERVING;

    public StoreServer(HostPort listen, EventLoopGroup loop) {
        mLoop = loop;
        mServer = new HttpServer(listen, loop, MAX_BODY, this::handle);
    }

    @Override
    public void start() throws IOException {
        mServer.start();
        mExpiry =
                mLoop.next()
                        .scheduleAtFixedRate(
                                this::expire, EXPIRY_MS, EXPIRY_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        if (mExpiry != null) {
            mExpiry.cancel(false);
        }
        mServer.stop();
    }

    @Override
    public HostPort address() {
        return mServer.address();
    }

    /** Changes how the store treats calls. */
    public void setMode(Mode mode) {
        mMode = mode;
    }

    /** Returns the keys with a prefix. */
    public synchronized List<String> keys(String prefix) {
        return mState.keys(prefix);
    }

    /** Writes a key as the operator or a worker does. */
    public synchronized void write(String key, String text) {
        mState.write(
                key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
        wakeWatches();
    }

    /** Removes a key as the platform does. */
    public synchronized void remove(String key) {
        mState.remove(key);
        wakeWatches();
    }

    /** Forgets the history and ends waiting watches. */
    public synchronized void compact() {
        mState.compact();
        for (Waiting waiting : mWaiting) {
            waiting.timer.cancel(false);
            waiting.call.abort();
        }
        mWaiting.clear();
    }

    private synchronized void expire() {
        long before = mState.revision();
        mState.expire(now());
        if (mState.revision() != before) {
            wakeWatches();
        }
    }

    private synchronized void handle(HttpCall call) {
        if (mMode == Mode.BUSY) {
            call.respondJson(503, "{}");
            return;
        }
        if (mMode == Mode.SILENT) {
            return;
        }
        String path = call.path();
        if (path.equals("/kv-watch")) {
            watch(call);
            return;
        }
        Answer answer = answer(call, path);
        wakeWatches();
        boolean write = path.equals("/kv-txn");
        if (!(write && mMode == Mode.LOSING_ANSWERS)) {
            call.respondJson(answer.status(), answer.body().toString());
        }
    }

    private Answer answer(HttpCall call, String path) {
        if (path.equals("/kv-key")) {
            return mState.read(call.parameter("key"));
        } else if (path.equals("/kv-range")) {
            return mState.list(call.parameter("path_prefix"), call.parameter("after"));
        } else if (path.equals("/kv-txn")) {
            return mState.commit(parse(call));
        } else if (path.equals("/kv-lease")) {
            return mState.grant(parse(call).path("ttl_ms").asLong(), now());
        } else if (path.startsWith("/kv-keep/")) {
            return mState.renew(lastNumber(path), now());
        } else if (path.startsWith("/kv-lease-end/")) {
            return mState.end(lastNumber(path));
        }
        return new Answer(404, mMapper.createObjectNode());
    }

    private void watch(HttpCall call) {
        String prefix = call.parameter("path_prefix");
        long after = Long.parseLong(call.parameter("after"));
        Answer changes = mState.changes(prefix, after);
        if (changes != null) {
            call.respondJson(changes.status(), changes.body().toString());
            return;
        }
        long wait = Long.parseLong(call.parameter("wait_ms"));
        ScheduledFuture<?> timer =
                mLoop.next().schedule(() -> endWatch(call), wait, TimeUnit.MILLISECONDS);
        mWaiting.add(new Waiting(call, prefix, after, timer));
    }

    private synchronized void endWatch(HttpCall call) {
        if (mWaiting.removeIf(waiting -> waiting.call == call) && mMode == Mode.SERVING) {
            call.respondJson(200, mState.noChanges().body().toString());
        }
    }

    private void wakeWatches() {
        if (mMode == Mode.SILENT) {
            return;
        }
        mWaiting.removeIf(
                waiting -> {
                    Answer changes = mState.changes(waiting.prefix, waiting.after);
                    if (changes == null) {
                        return false;
                    }
                    waiting.timer.cancel(false);
                    waiting.call.respondJson(changes.status(), changes.body().toString());
                    return true;
                });
    }

    private JsonNode parse(HttpCall call) {
        try {
            return mMapper.readTree(call.text());
        } catch (IOException e) {
            return mMapper.createObjectNode();
        }
    }

    private static long lastNumber(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }
}
