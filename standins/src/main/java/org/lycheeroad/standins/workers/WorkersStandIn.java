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
import org.lycheeroad.standins.Place;
import org.lycheeroad.standins.StandIn;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.WorkerReport;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/** Hosts several workers on one address; they are told apart by path. */
public final class WorkersStandIn implements StandIn {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final long TICK_MILLIS = 10;
    private static final String PATH = "/v1/workers/";

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer mServer;
    private final RunLog mLog = new RunLog();
    private final Map<String, WorkerModel> mWorkers = new TreeMap<>();
    private final List<Poll> mPolls = new ArrayList<>();
    private final Place mPlace;
    private final int mAccelerators;
    private final long mLagMillis;

    /**
     * A call that waits for a change of a worker's report, which is first seen at {@code mDue}.
     *
     * <p>It asks for the report, or has renewed the worker's tasks.
     */
    private static final class Poll {
        private final HttpCall mCall;
        private final WorkerModel mWorker;
        private final boolean mRenewal;
        private final String mKnown;
        private final long mDeadline;
        private long mDue = Long.MAX_VALUE;

        Poll(HttpCall call, WorkerModel worker, boolean renewal, String known, long deadline) {
            mCall = call;
            mWorker = worker;
            mRenewal = renewal;
            mKnown = known;
            mDeadline = deadline;
        }
    }

    /**
     * Creates workers.
     *
     * @param lagMillis the time after which a change reaches a waiting report call
     */
    public WorkersStandIn(
            HostPort listen, Place place, int count, int accelerators, long lagMillis) {
        mServer = new HttpServer(listen, mGroup, MAX_BODY_BYTES, this::handle);
        mPlace = place;
        mAccelerators = accelerators;
        mLagMillis = lagMillis;
        Map<String, Long> checkpoints = new HashMap<>();
        for (int i = 0; i < count; i++) {
            WorkerId id = new WorkerId(place.prefix() + i);
            mWorkers.put(id.value(), new WorkerModel(id, accelerators, mLog, checkpoints));
        }
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

    /** Returns the workers as the platform lists them. */
    public List<VmInfo> vms() {
        HostPort at = address();
        return mWorkers.keySet().stream()
                .map(id -> mPlace.vm(id, "worker", at.host(), at.port(), mAccelerators, 0, 0))
                .toList();
    }

    /** Returns every run of a task. */
    public List<TaskRun> runs() {
        return mLog.all();
    }

    /** Sets a fault of one worker or of all. */
    public void setFault(WorkerFault fault) {
        mGroup.submit(() -> applyFault(fault)).awaitUninterruptibly();
    }

    private void tick() {
        long now = monotonicMillis();
        mWorkers.values().forEach(w -> w.advance(now));
        List<Poll> ready = new ArrayList<>();
        for (Poll poll : mPolls) {
            if (poll.mDue == Long.MAX_VALUE
                    && !poll.mWorker.version().entityTag().equals(poll.mKnown)) {
                poll.mDue = now + mLagMillis;
            }
            if (!poll.mCall.isOpen() || now >= Math.min(poll.mDue, poll.mDeadline)) {
                ready.add(poll);
            }
        }
        mPolls.removeAll(ready);
        for (Poll poll : ready) {
            if (poll.mRenewal) {
                answerRenewal(poll);
            } else {
                answerReport(poll.mCall, poll.mWorker, poll.mKnown);
            }
        }
    }

    private void handle(HttpCall call) {
        try {
            if (call.path().startsWith(PATH)) {
                handleWorker(call);
            } else if (call.path().equals("/admin/runs")) {
                call.answerJson(200, Json.write(mLog.all()));
            } else if (call.path().equals("/admin/fault")) {
                applyFault(Json.read(call.text(), WorkerFault.class));
                call.answerJson(200, "{}");
            } else {
                call.answerJson(404, "{}");
            }
        } catch (JsonException | NumberFormatException e) {
            call.answerJson(400, Json.write(Map.of("reason", String.valueOf(e.getMessage()))));
        }
    }

    private void handleWorker(HttpCall call) throws JsonException {
        String[] parts = call.path().substring(PATH.length()).split("/", 2);
        WorkerModel worker = mWorkers.get(parts[0]);
        if (worker == null || parts.length < 2) {
            call.answerJson(404, "{}");
        } else if (!worker.isReachable()) {
            call.abort();
        } else if (parts[1].equals("orders")) {
            handleOrders(call, worker, Json.read(call.text(), OrdersRequest.class));
        } else if (parts[1].equals("report")) {
            handleReport(call, worker);
        } else {
            call.answerJson(404, "{}");
        }
    }

    private void handleOrders(HttpCall call, WorkerModel worker, OrdersRequest request) {
        if (!worker.admit(request)) {
            call.answerJson(409, Json.write(new StaleTokenError(worker.token())));
            return;
        }
        long now = monotonicMillis();
        boolean renewed =
                request.renewAllMs() > 0
                        && worker.renewAll(request.known(), request.renewAllMs(), now);
        List<OrderResult> results = new ArrayList<>();
        for (Order order : request.orders()) {
            results.add(worker.apply(order, now));
        }
        WorkerReport report = worker.report(now);
        boolean unchanged = worker.version().toString().equals(request.known());
        if (request.waitMs() > 0 && renewed && unchanged && results.isEmpty()) {
            String known = worker.version().entityTag();
            mPolls.add(new Poll(call, worker, true, known, now + request.waitMs()));
            return;
        }
        call.answerJson(
                200, Json.write(new OrdersResponse(results, unchanged ? null : report, renewed)));
    }

    private void handleReport(HttpCall call, WorkerModel worker) {
        String known = call.header("If-None-Match");
        long wait = parse(call.parameter("waitMs"));
        if (wait <= 0) {
            answerReport(call, worker, known);
        } else {
            mPolls.add(new Poll(call, worker, false, known, monotonicMillis() + wait));
        }
    }

    private static void answerRenewal(Poll poll) {
        if (!poll.mWorker.isReachable()) {
            poll.mCall.abort();
            return;
        }
        WorkerReport report = poll.mWorker.report(monotonicMillis());
        if (poll.mWorker.version().entityTag().equals(poll.mKnown)) {
            poll.mCall.answer(204, "", Map.of(), new byte[0]);
        } else {
            poll.mCall.answerJson(200, Json.write(new OrdersResponse(List.of(), report, true)));
        }
    }

    private static void answerReport(HttpCall call, WorkerModel worker, String known) {
        if (!worker.isReachable()) {
            call.abort();
            return;
        }
        WorkerReport report = worker.report(monotonicMillis());
        String tag = worker.version().entityTag();
        boolean changed = !tag.equals(known);
        byte[] body = changed ? Json.write(report).getBytes(StandardCharsets.UTF_8) : new byte[0];
        call.answer(changed ? 200 : 304, "application/json", Map.of("ETag", tag), body);
    }

    private void applyFault(WorkerFault fault) {
        long now = monotonicMillis();
        mWorkers.forEach(
                (id, worker) -> {
                    if (fault.worker().equals("*") || fault.worker().equals(id)) {
                        worker.setFault(fault.mode(), now);
                    }
                });
    }

    private static long parse(String number) {
        return number.isEmpty() ? 0 : Long.parseLong(number);
    }

    private static long monotonicMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
