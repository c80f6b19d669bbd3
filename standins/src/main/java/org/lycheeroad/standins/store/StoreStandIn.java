package org.lycheeroad.standins.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.standins.StandIn;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/** Serves a subset of the etcd v3 HTTP/JSON gateway from memory, on one thread. */
public final class StoreStandIn implements StandIn {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final long TICK_MILLIS = 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer mServer;
    private final StoreState mState = new StoreState();
    private final List<Watch> mWatches = new ArrayList<>();
    private final Map<String, Long> mCalls = new TreeMap<>();
    private final RateLimit mWrites;
    private final RateLimit mReads;
    private StoreFault mFault = StoreFault.NONE;
    private StoreState mStale = mState;
    private int mAffected;

    private static final class Watch {
        private final HttpCall mCall;
        private final String mKey;
        private final String mRangeEnd;
        private long mNext;

        Watch(HttpCall call, String key, String rangeEnd, long next) {
            mCall = call;
            mKey = key;
            mRangeEnd = rangeEnd;
            mNext = next;
        }
    }

    /**
     * Creates a store.
     *
     * @param writesPerSecond writes above this rate are refused with status 429
     * @param readsPerSecond reads above this rate are refused with status 429
     */
    public StoreStandIn(HostPort listen, int writesPerSecond, int readsPerSecond) {
        mServer = new HttpServer(listen, mGroup, MAX_BODY_BYTES, this::handle);
        mWrites = new RateLimit(writesPerSecond);
        mReads = new RateLimit(readsPerSecond);
    }

    @Override
    public void start() throws IOException {
        mServer.start();
        mGroup.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mServer.stop();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Override
    public HostPort address() {
        return mServer.address();
    }

    /** Sets a fault; it holds for all calls that arrive after this method returns. */
    public void setFault(StoreFault fault) {
        mGroup.submit(() -> applyFault(fault)).awaitUninterruptibly();
    }

    private void tick() {
        mState.expireLeases(System.nanoTime());
        notifyWatches();
    }

    private void handle(HttpCall call) {
        String path = call.path();
        if (path.startsWith("/admin/")) {
            admin(call);
            return;
        }
        mCalls.merge(path, 1L, Long::sum);
        StoreFault fault = mFault;
        if (fault.mode().equals("down")) {
            countAffected();
            call.abort();
            return;
        }
        if (fault.mode().equals("slow")) {
            countAffected();
            mGroup.schedule(() -> serve(call), fault.delayMs(), TimeUnit.MILLISECONDS);
            return;
        }
        serve(call);
    }

    private void serve(HttpCall call) {
        try {
            JsonNode request = MAPPER.readTree(call.text().isEmpty() ? "{}" : call.text());
            if (call.path().equals("/v3/watch")) {
                watch(call, request.path("create_request"));
                return;
            }
            JsonNode answer = apply(call.path(), request);
            notifyWatches();
            boolean write = !call.path().equals("/v3/kv/range");
            if (write && mFault.mode().equals("lose-answers")) {
                countAffected();
                call.abort();
                return;
            }
            call.respondJson(200, answer.toString());
        } catch (JsonProcessingException e) {
            refuse(call, new StoreRefusal(400, 3, e.getOriginalMessage()));
        } catch (StoreRefusal e) {
            refuse(call, e);
        }
    }

    private JsonNode apply(String path, JsonNode request) throws StoreRefusal {
        long now = System.nanoTime();
        mState.expireLeases(now);
        (path.equals("/v3/kv/range") ? mReads : mWrites).take(now);
        return switch (path) {
            case "/v3/kv/range" -> readState().range(request);
            case "/v3/kv/put" -> mState.put(request);
            case "/v3/kv/deleterange" -> mState.deleteRange(request);
            case "/v3/kv/txn" -> mState.txn(request);
            case "/v3/lease/grant" -> mState.grant(request, now);
            case "/v3/lease/keepalive" -> mState.keepAlive(request, now);
            case "/v3/lease/revoke", "/v3/kv/lease/revoke" -> mState.revoke(request);
            default -> throw new StoreRefusal(404, 5, "Not Found");
        };
    }

    private StoreState readState() {
        return mFault.mode().equals("stale") ? mStale : mState;
    }

    private void watch(HttpCall call, JsonNode request) throws StoreRefusal {
        mReads.take(System.nanoTime());
        String key = StoreState.decode(request.path("key").asText());
        String end = StoreState.decode(request.path("range_end").asText());
        long start = request.path("start_revision").asLong();
        call.startChunkedResponse(200, "application/json");
        ObjectNode created = MAPPER.createObjectNode();
        created.set("header", mState.header());
        call.writeChunk(wrap(created.put("created", true)));
        if (start > 0 && start <= mState.compactRevision()) {
            ObjectNode canceled = MAPPER.createObjectNode();
            canceled.set("header", mState.header());
            canceled.put("canceled", true);
            StoreState.putInt64(canceled, "compact_revision", mState.compactRevision() + 1);
            call.writeChunk(wrap(canceled));
            call.endChunkedResponse();
            return;
        }
        Watch watch = new Watch(call, key, end, start > 0 ? start : mState.revision() + 1);
        mWatches.add(watch);
        call.onConnectionClosed(() -> mGroup.execute(() -> mWatches.remove(watch)));
        notifyWatches();
    }

    private void notifyWatches() {
        if (mFault.mode().equals("stale")) {
            return;
        }
        for (Watch watch : mWatches) {
            if (watch.mNext > mState.revision()) {
                continue;
            }
            List<StoreState.Change> changes =
                    mState.changesFrom(watch.mNext, watch.mKey, watch.mRangeEnd);
            watch.mNext = mState.revision() + 1;
            if (!changes.isEmpty()) {
                ObjectNode result = MAPPER.createObjectNode();
                result.set("header", mState.header());
                ArrayNode events = result.putArray("events");
                changes.forEach(c -> events.add(c.toJson()));
                watch.mCall.writeChunk(wrap(result));
            }
        }
    }

    private void countAffected() {
        mAffected++;
        if (mAffected == mFault.count()) {
            mFault = StoreFault.NONE;
        }
    }

    private void admin(HttpCall call) {
        if (call.path().equals("/admin/calls")) {
            call.respondJson(200, Json.write(mCalls));
            return;
        }
        if (!call.path().equals("/admin/fault")) {
            call.respondJson(404, "{}");
            return;
        }
        try {
            applyFault(Json.read(call.text(), StoreFault.class));
            call.respondJson(200, "{}");
        } catch (JsonException e) {
            call.respondJson(400, Json.write(Map.of("reason", e.getMessage())));
        }
    }

    private void applyFault(StoreFault fault) {
        mFault = fault;
        mAffected = 0;
        mStale = fault.mode().equals("stale") ? mState.copyForReads() : mState;
        if (fault.mode().equals("down")) {
            List.copyOf(mWatches).forEach(w -> w.mCall.abort());
            mWatches.clear();
        }
    }

    private static String wrap(ObjectNode result) {
        ObjectNode line = MAPPER.createObjectNode();
        line.set("result", result);
        return line + "\n";
    }

    private static void refuse(HttpCall call, StoreRefusal refusal) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("error", refusal.getMessage());
        body.put("message", refusal.getMessage());
        body.put("code", refusal.code());
        call.respondJson(refusal.status(), body.toString());
    }
}
