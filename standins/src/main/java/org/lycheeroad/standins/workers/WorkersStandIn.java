package org.lycheeroad.standins.workers;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.protocol.vm.VmInfo;
import org.lycheeroad.protocol.worker.OrderResult;
import org.lycheeroad.protocol.worker.OrdersRequest;
import org.lycheeroad.protocol.worker.OrdersResponse;
import org.lycheeroad.protocol.worker.StaleTokenError;
import org.lycheeroad.standins.StandIn;
import org.lycheeroad.standins.VmLocation;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.WorkerReport;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/** Hosts several workers on one address; the URL path selects the worker. */
public final class WorkersStandIn implements StandIn {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final long TICK_INTERVAL_MS = 10;
    private static final String WORKERS_PATH = "/v1/workers/";

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer mServer;
    private final TaskRunLog mRunLog = new TaskRunLog();
    private final Map<String, WorkerModel> mWorkers = new TreeMap<>();
    private final List<LongPoll> mLongPolls = new ArrayList<>();
    private final VmLocation mLocation;
    private final int mAccelerators;
    private final long mReportLagMs;

    /**
     * A call that waits for a change of a worker's report. Once a change is seen, {@code
     * mAnswerDueMs} is the time at which the call is answered.
     *
     * <p>The call either requests the report or has renewed the leases of the worker's tasks.
     */
    private static final class LongPoll {
        private final HttpCall mCall;
        private final WorkerModel mWorker;
        private final boolean mIsRenewal;
        private final String mKnownTag;
        private final long mDeadlineMs;
        private long mAnswerDueMs = Long.MAX_VALUE;

        LongPoll(
                HttpCall call,
                WorkerModel worker,
                boolean isRenewal,
                String knownTag,
                long deadlineMs) {
            mCall = call;
            mWorker = worker;
            mIsRenewal = isRenewal;
            mKnownTag = knownTag;
            mDeadlineMs = deadlineMs;
        }
    }

    /**
     * Creates workers.
     *
     * @param reportLagMs the delay, in milliseconds, after which a change is reported to a waiting
     *     call
     */
    public WorkersStandIn(
            HostPort listen, VmLocation location, int count, int accelerators, long reportLagMs) {
        mServer = new HttpServer(listen, mGroup, MAX_BODY_BYTES, this::handle);
        mLocation = location;
        mAccelerators = accelerators;
        mReportLagMs = reportLagMs;
        Map<String, Long> checkpointedMs = new HashMap<>();
        for (int i = 0; i < count; i++) {
            WorkerId id = new WorkerId(location.idPrefix() + i);
            mWorkers.put(id.value(), new WorkerModel(id, accelerators, mRunLog, checkpointedMs));
        }
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

    /** Returns the entries of the workers for the VM list. */
    public List<VmInfo> vms() {
        HostPort address = address();
        return mWorkers.keySet().stream()
                .map(
                        id ->
                                mLocation.liveVm(
                                        id,
                                        "worker",
                                        address.host(),
                                        address.port(),
                                        mAccelerators,
                                        0,
                                        0))
                .toList();
    }

    /** Returns all task runs. */
    public List<TaskRun> runs() {
        return mRunLog.all();
    }

    /** Sets a fault of one worker or all workers; it is in effect when this method returns. */
    public void setFault(WorkerFault fault) {
        mGroup.submit(() -> applyFault(fault)).awaitUninterruptibly();
    }

    private void tick() {
        long nowMs = monotonicMs();
        mWorkers.values().forEach(w -> w.endFinishedTasks(nowMs));
        List<LongPoll> readyPolls = new ArrayList<>();
        for (LongPoll poll : mLongPolls) {
            if (poll.mAnswerDueMs == Long.MAX_VALUE
                    && !poll.mWorker.reportVersion().entityTag().equals(poll.mKnownTag)) {
                poll.mAnswerDueMs = nowMs + mReportLagMs;
            }
            if (!poll.mCall.isConnectionOpen()
                    || nowMs >= Math.min(poll.mAnswerDueMs, poll.mDeadlineMs)) {
                readyPolls.add(poll);
            }
        }
        mLongPolls.removeAll(readyPolls);
        for (LongPoll poll : readyPolls) {
            if (poll.mIsRenewal) {
                answerRenewal(poll);
            } else {
                answerReport(poll.mCall, poll.mWorker, poll.mKnownTag);
            }
        }
    }

    private void handle(HttpCall call) {
        try {
            if (call.path().startsWith(WORKERS_PATH)) {
                handleWorker(call);
            } else if (call.path().equals("/admin/runs")) {
                call.respondJson(200, Json.write(mRunLog.all()));
            } else if (call.path().equals("/admin/fault")) {
                applyFault(Json.read(call.text(), WorkerFault.class));
                call.respondJson(200, "{}");
            } else {
                call.respondJson(404, "{}");
            }
        } catch (JsonException | NumberFormatException e) {
            call.respondJson(400, Json.write(Map.of("reason", String.valueOf(e.getMessage()))));
        }
    }

    private void handleWorker(HttpCall call) throws JsonException {
        String[] parts = call.path().substring(WORKERS_PATH.length()).split("/", 2);
        WorkerModel worker = mWorkers.get(parts[0]);
        if (worker == null || parts.length < 2) {
            call.respondJson(404, "{}");
        } else if (!worker.isReachable()) {
            call.abort();
        } else if (parts[1].equals("orders")) {
            handleOrders(call, worker, Json.read(call.text(), OrdersRequest.class));
        } else if (parts[1].equals("report")) {
            handleReport(call, worker);
        } else {
            call.respondJson(404, "{}");
        }
    }

    private void handleOrders(HttpCall call, WorkerModel worker, OrdersRequest request) {
        if (!worker.acceptToken(request)) {
            call.respondJson(409, Json.write(new StaleTokenError(worker.fencingToken())));
            return;
        }
        long nowMs = monotonicMs();
        boolean renewed =
                request.renewAllMs() > 0
                        && worker.renewAllIfUnchanged(request.known(), request.renewAllMs(), nowMs);
        List<OrderResult> results = new ArrayList<>();
        for (Order order : request.orders()) {
            results.add(worker.applyOrder(order, nowMs));
        }
        WorkerReport report = worker.report(nowMs);
        boolean unchanged = worker.reportVersion().toString().equals(request.known());
        if (request.waitMs() > 0 && renewed && unchanged && results.isEmpty()) {
            String knownTag = worker.reportVersion().entityTag();
            mLongPolls.add(new LongPoll(call, worker, true, knownTag, nowMs + request.waitMs()));
            return;
        }
        call.respondJson(
                200, Json.write(new OrdersResponse(results, unchanged ? null : report, renewed)));
    }

    private void handleReport(HttpCall call, WorkerModel worker) {
        String knownTag = call.header("If-None-Match");
        long waitMs = parseOrZero(call.parameter("waitMs"));
        if (waitMs <= 0) {
            answerReport(call, worker, knownTag);
        } else {
            mLongPolls.add(new LongPoll(call, worker, false, knownTag, monotonicMs() + waitMs));
        }
    }

    private static void answerRenewal(LongPoll poll) {
        if (!poll.mWorker.isReachable()) {
            poll.mCall.abort();
            return;
        }
        WorkerReport report = poll.mWorker.report(monotonicMs());
        if (poll.mWorker.reportVersion().entityTag().equals(poll.mKnownTag)) {
            poll.mCall.respond(204, "", Map.of(), new byte[0]);
        } else {
            poll.mCall.respondJson(200, Json.write(new OrdersResponse(List.of(), report, true)));
        }
    }

    private static void answerReport(HttpCall call, WorkerModel worker, String knownTag) {
        if (!worker.isReachable()) {
            call.abort();
            return;
        }
        WorkerReport report = worker.report(monotonicMs());
        String tag = worker.reportVersion().entityTag();
        boolean changed = !tag.equals(knownTag);
        byte[] body = changed ? Json.write(report).getBytes(StandardCharsets.UTF_8) : new byte[0];
        call.respond(changed ? 200 : 304, "application/json", Map.of("ETag", tag), body);
    }

    private void applyFault(WorkerFault fault) {
        long nowMs = monotonicMs();
        mWorkers.forEach(
                (id, worker) -> {
                    if (fault.worker().equals("*") || fault.worker().equals(id)) {
                        worker.setFault(fault.mode(), nowMs);
                    }
                });
    }

    private static long parseOrZero(String number) {
        return number.isEmpty() ? 0 : Long.parseLong(number);
    }

    private static long monotonicMs() {
        return System.nanoTime() / 1_000_000;
    }
}
