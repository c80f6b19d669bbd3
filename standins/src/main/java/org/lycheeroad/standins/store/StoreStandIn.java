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

/**
 * In-memory server for a subset of the etcd v3 HTTP/JSON gateway. All state is used on one
 * event-loop thread.
 */
public final class StoreStandIn implements StandIn {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final long TICK_INTERVAL_MS = 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer mServer;
    private final StoreState mState = new StoreState();
    private final List<Watch> mWatches = new ArrayList<>();
    private final Map<String, Long> mCallCounts = new TreeMap<>();
    private final RateLimiter mWriteLimiter;
    private final RateLimiter mReadLimiter;
    private StoreFault mFault = StoreFault.NONE;
    private StoreState mStaleSnapshot = mState;
    private int mAffectedCalls;

    private static final class Watch {
        private final HttpCall mCall;
        private final String mKey;
        private final String mRangeEnd;
        private long mNextRevision;

        Watch(HttpCall call, String key, String rangeEnd, long nextRevision) {
            mCall = call;
            mKey = key;
            mRangeEnd = rangeEnd;
            mNextRevision = nextRevision;
        }
    }

    /**
     * Creates a store.
     *
     * @param writesPerSecond writes above this rate are rejected with status 429
     * @param readsPerSecond reads above this rate are rejected with status 429
     */
    public StoreStandIn(HostPort listen, int writesPerSecond, int readsPerSecond) {
        mServer = new HttpServer(listen, mGroup, MAX_BODY_BYTES, this::handle);
        mWriteLimiter = new RateLimiter(writesPerSecond);
        mReadLimiter = new RateLimiter(readsPerSecond);
    }

    @Override
    public void start() throws IOException {
        mServer.start();
        mGroup.scheduleAtFixedRate(
                this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
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

    /** Sets a fault that applies to all calls that arrive after this method returns. */
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
            handleAdmin(call);
            return;
        }
        mCallCounts.merge(path, 1L, Long::sum);
        StoreFault fault = mFault;
        if (fault.mode().equals("down")) {
            countAffectedCall();
            call.abort();
            return;
        }
        if (fault.mode().equals("slow")) {
            countAffectedCall();
            mGroup.schedule(() -> serve(call), fault.delayMs(), TimeUnit.MILLISECONDS);
            return;
        }
        serve(call);
    }

    private void serve(HttpCall call) {
        try {
            JsonNode request = MAPPER.readTree(call.text().isEmpty() ? "{}" : call.text());
            if (call.path().equals("/v3/watch")) {
                startWatch(call, request.path("create_request"));
                return;
            }
            JsonNode response = execute(call.path(), request);
            notifyWatches();
            boolean isWrite = !call.path().equals("/v3/kv/range");
            if (isWrite && mFault.mode().equals("lose-answers")) {
                countAffectedCall();
                call.abort();
                return;
            }
            call.respondJson(200, response.toString());
        } catch (JsonProcessingException e) {
            answerError(call, new EtcdException(400, 3, e.getOriginalMessage()));
        } catch (EtcdException e) {
            answerError(call, e);
        }
    }

    private JsonNode execute(String path, JsonNode request) throws EtcdException {
        long now = System.nanoTime();
        mState.expireLeases(now);
        (path.equals("/v3/kv/range") ? mReadLimiter : mWriteLimiter).acquire(now);
        return switch (path) {
            case "/v3/kv/range" -> stateForReads().range(request);
            case "/v3/kv/put" -> mState.put(request);
            case "/v3/kv/deleterange" -> mState.deleteRange(request);
            case "/v3/kv/txn" -> mState.txn(request);
            case "/v3/lease/grant" -> mState.grantLease(request, now);
            case "/v3/lease/keepalive" -> mState.keepLeaseAlive(request, now);
            case "/v3/lease/revoke", "/v3/kv/lease/revoke" -> mState.revokeLease(request);
            default -> throw new EtcdException(404, 5, "Not Found");
        };
    }

    private StoreState stateForReads() {
        return mFault.mode().equals("stale") ? mStaleSnapshot : mState;
    }

    private void startWatch(HttpCall call, JsonNode request) throws EtcdException {
        mReadLimiter.acquire(System.nanoTime());
        String key = StoreState.decode(request.path("key").asText());
        String rangeEnd = StoreState.decode(request.path("range_end").asText());
        long startRevision = request.path("start_revision").asLong();
        call.startChunkedResponse(200, "application/json");
        ObjectNode createdResult = MAPPER.createObjectNode();
        createdResult.set("header", mState.header());
        call.writeChunk(resultLine(createdResult.put("created", true)));
        if (startRevision > 0 && startRevision <= mState.compactRevision()) {
            ObjectNode canceledResult = MAPPER.createObjectNode();
            canceledResult.set("header", mState.header());
            canceledResult.put("canceled", true);
            StoreState.putInt64(canceledResult, "compact_revision", mState.compactRevision() + 1);
            call.writeChunk(resultLine(canceledResult));
            call.endChunkedResponse();
            return;
        }
        Watch watch =
                new Watch(
                        call,
                        key,
                        rangeEnd,
                        startRevision > 0 ? startRevision : mState.revision() + 1);
        mWatches.add(watch);
        call.onConnectionClosed(() -> mGroup.execute(() -> mWatches.remove(watch)));
        notifyWatches();
    }

    private void notifyWatches() {
        if (mFault.mode().equals("stale")) {
            return;
        }
        for (Watch watch : mWatches) {
            if (watch.mNextRevision > mState.revision()) {
                continue;
            }
            List<StoreState.Change> changes =
                    mState.changesFrom(watch.mNextRevision, watch.mKey, watch.mRangeEnd);
            watch.mNextRevision = mState.revision() + 1;
            if (!changes.isEmpty()) {
                ObjectNode result = MAPPER.createObjectNode();
                result.set("header", mState.header());
                ArrayNode events = result.putArray("events");
                changes.forEach(c -> events.add(c.toJson()));
                watch.mCall.writeChunk(resultLine(result));
            }
        }
    }

    private void countAffectedCall() {
        mAffectedCalls++;
        if (mAffectedCalls == mFault.count()) {
            mFault = StoreFault.NONE;
        }
    }

    private void handleAdmin(HttpCall call) {
        if (call.path().equals("/admin/calls")) {
            call.respondJson(200, Json.write(mCallCounts));
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
        mAffectedCalls = 0;
        mStaleSnapshot = fault.mode().equals("stale") ? mState.snapshot() : mState;
        if (fault.mode().equals("down")) {
            List.copyOf(mWatches).forEach(w -> w.mCall.abort());
            mWatches.clear();
        }
    }

    private static String resultLine(ObjectNode result) {
        ObjectNode line = MAPPER.createObjectNode();
        line.set("result", result);
        return line + "\n";
    }

    private static void answerError(HttpCall call, EtcdException error) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("error", error.getMessage());
        body.put("message", error.getMessage());
        body.put("code", error.grpcCode());
        call.respondJson(error.httpStatus(), body.toString());
    }
}
