package org.lycheeroad.entry.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.coordination.placement.PlacementAction;
import org.lycheeroad.coordination.placement.PlacementCore;
import org.lycheeroad.coordination.placement.PlacementEvent;
import org.lycheeroad.entry.control.ControlListener;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.protocol.worker.OrderResult;
import org.lycheeroad.protocol.worker.OrdersRequest;
import org.lycheeroad.protocol.worker.OrdersResponse;
import org.lycheeroad.protocol.worker.ReportVersion;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskReport;
import org.lycheeroad.state.task.WorkerReport;
import org.lycheeroad.state.topology.WorkerInfo;
import org.lycheeroad.transport.duty.MessageLoop;
import org.lycheeroad.transport.duty.MessageLoopHandler;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.worker.StaleTokenException;
import org.lycheeroad.transport.worker.WorkerClient;

/**
 * Passes events to the placement core of this entry's region and performs the resulting actions.
 *
 * <p>Events are handled on one thread. Workers are only called while this entry owns the placement;
 * a worker that has accepted a higher token ends the ownership immediately.
 */
public final class PlacementService implements MessageLoopHandler<Runnable>, ControlListener {
    private static final int QUEUE_CAPACITY = 8_192;
    private static final long TICK_INTERVAL_MS = 100;

    /**
     * Added to the wait time of a report request to get its timeout.
     *
     * <p>The timeout expires before the core considers the worker unresponsive.
     */
    private static final long REPORT_TIMEOUT_MARGIN_MS = 800;

    /** The tick interval while another entry owns the placement. */
    private static final long IDLE_TICK_INTERVAL_MS = 1_000;

    private static final long ORDER_TIMEOUT_MS = 1_000;

    /** Expires before the core considers the worker unresponsive, 2.5 s after its last response. */
    private static final long RENEWAL_TIMEOUT_MS = WorkerSession.RENEWAL_RESPONSE_WAIT_MS + 500;

    private static final int MAX_PENDING_ORDERS = 1_024;

    /** Leaves time to complete a cancellation within the 8.6 s that urgent work may wait. */
    private static final long URGENT_TIMEOUT_MS = 7_800;

    private static final long CANCEL_TIMEOUT_MS = 10_000;

    private final EntryId mEntry;
    private final RegionId mRegion;
    private final PlacementCore mCore;
    private final ControlPlane mControlPlane;
    private final WorkerClient mClient;
    private final EventLog mEvents;
    private final EntryMetrics mMetrics;
    private final MessageLoop<Runnable> mLoop;
    private final Map<WorkerId, WorkerSession> mSessions = new LinkedHashMap<>();
    private final Map<JobId, JobRecord> mActiveJobs = new HashMap<>();
    private final Set<JobId> mStoredJobs = new HashSet<>();
    private final UnconfirmedJobEnds mUnconfirmedEnds = new UnconfirmedJobEnds();
    private final WaitingCallers mWaitingCallers = new WaitingCallers(CANCEL_TIMEOUT_MS);
    private final Set<WorkerId> mWorkersToSend = new HashSet<>();
    private volatile long mHeldToken;
    private volatile boolean mStopped;
    private volatile Map<JobState, Integer> mJobCounts = Map.of();

    /** Creates the service; it must be added to the control plane as a listener. */
    public PlacementService(
            EntryId entry,
            RegionId region,
            PlacementCore core,
            ControlPlane controlPlane,
            WorkerClient client,
            EventLog events,
            EntryMetrics metrics) {
        mEntry = entry;
        mRegion = region;
        mCore = core;
        mControlPlane = controlPlane;
        mClient = client;
        mEvents = events;
        mMetrics = metrics;
        mLoop =
                new MessageLoop<>(
                        "placement", QUEUE_CAPACITY, TICK_INTERVAL_MS, IDLE_TICK_INTERVAL_MS, this);
    }

    /** Starts the thread. */
    public void start() {
        mLoop.start();
    }

    /** Stops the thread after the queued messages. */
    public void stop() {
        mStopped = true;
        mLoop.stop();
    }

    /** Returns the number of queued messages. */
    public int queueLength() {
        return mLoop.queueLength();
    }

    /** Returns the fencing token with which this entry owns the placement, or 0. */
    public long heldToken() {
        return mHeldToken;
    }

    /** Returns the number of known jobs in a state. */
    public int jobCount(JobState state) {
        return mJobCounts.getOrDefault(state, 0);
    }

    /** Updates the workers of the region. */
    public void onWorkersChanged(List<WorkerInfo> workers) {
        enqueue(() -> updateWorkers(workers));
    }

    @Override
    public void onTableChanged(OperatorTable table) {
        enqueue(() -> handleEvent(new PlacementEvent.TableChanged(table)));
    }

    @Override
    public void onPlacementRoleGained(long token) {
        enqueue(() -> startOwnership(token));
    }

    @Override
    public void onPlacementRoleLost() {
        enqueue(() -> endOwnership());
    }

    @Override
    public void onJobChanged(JobRecord record) {
        if (record.spec().region().equals(mRegion)) {
            enqueue(() -> handleJobRecord(record));
        }
    }

    @Override
    public void onUrgentSubmit(JobSpec spec, CompletableFuture<JobRecord> result) {
        if (!mLoop.offer(() -> handleUrgentSubmit(spec, result))) {
            mMetrics.countShed("placement");
            result.complete(new JobRecord(spec, JobState.NOT_RUN, "overloaded", 0, ""));
        }
    }

    @Override
    public void onCancel(JobId job, CompletableFuture<JobRecord> result) {
        if (!mLoop.offer(() -> handleCancel(job, result))) {
            mMetrics.countShed("placement");
            result.completeExceptionally(new IllegalStateException("placement is overloaded"));
        }
    }

    @Override
    public void handle(Runnable message) {
        message.run();
        sendPendingOrders();
    }

    @Override
    public void tick() {
        handleEvent(new PlacementEvent.Tick());
        mWaitingCallers
                .expireCallers()
                .forEach(job -> handleEvent(new PlacementEvent.JobCancelled(job)));
        if (mHeldToken != 0) {
            mSessions.values().forEach(this::pollReport);
        }
        sendPendingOrders();
        updateJobCounts();
    }

    @Override
    public boolean isIdle() {
        return mHeldToken == 0 && mWaitingCallers.isEmpty();
    }

    private void enqueue(Runnable message) {
        if (!mLoop.offer(message)) {
            mMetrics.countShed("placement");
            mEvents.record(EventCode.WORK_SHED, "placement");
        }
    }

    private void startOwnership(long token) {
        mHeldToken = token;
        handleEvent(new PlacementEvent.OwnershipGained(token));
        new ArrayList<>(mActiveJobs.values())
                .forEach(job -> handleEvent(new PlacementEvent.JobSubmitted(job.spec())));
        mSessions.values().forEach(this::pollReport);
    }

    private void endOwnership() {
        if (mHeldToken == 0) {
            return;
        }
        mHeldToken = 0;
        mSessions.values().forEach(WorkerSession::reset);
        mUnconfirmedEnds.dropAcknowledgements();
        handleEvent(new PlacementEvent.OwnershipLost());
    }

    private void updateWorkers(List<WorkerInfo> workers) {
        Set<WorkerId> listed = new HashSet<>();
        for (WorkerInfo worker : workers) {
            listed.add(worker.id());
            WorkerSession session =
                    mSessions.computeIfAbsent(worker.id(), id -> new WorkerSession(worker));
            session.workerInfo(worker);
        }
        mSessions.keySet().retainAll(listed);
        handleEvent(new PlacementEvent.WorkersChanged(workers));
    }

    private void handleJobRecord(JobRecord record) {
        JobId id = record.spec().id();
        if (record.state().isFinal()) {
            mActiveJobs.remove(id);
            mStoredJobs.remove(id);
            mUnconfirmedEnds.remove(id).forEach(this::queueOrder);
            mWaitingCallers.answerCallers(record);
            return;
        }
        if (mUnconfirmedEnds.isOutdated(record)) {
            return;
        }
        mUnconfirmedEnds.remove(id);
        mStoredJobs.add(id);
        JobRecord known = mActiveJobs.putIfAbsent(id, record);
        if (known == null && mHeldToken != 0) {
            handleEvent(new PlacementEvent.JobSubmitted(record.spec()));
        } else if (known != null && mHeldToken == 0) {
            mActiveJobs.put(id, record);
        }
    }

    private void handleUrgentSubmit(JobSpec spec, CompletableFuture<JobRecord> result) {
        JobRecord queued = new JobRecord(spec, JobState.QUEUED, "", mHeldToken, "");
        if (mHeldToken == 0) {
            result.complete(new JobRecord(spec, JobState.NOT_RUN, NOT_PLACEMENT_OWNER, 0, ""));
            return;
        }
        mWaitingCallers.addUntilRunning(spec.id(), result, URGENT_TIMEOUT_MS);
        if (mActiveJobs.putIfAbsent(spec.id(), queued) == null) {
            handleEvent(new PlacementEvent.JobSubmitted(spec));
        } else if (mActiveJobs.get(spec.id()).state() == JobState.RUNNING) {
            mWaitingCallers.answerCallers(mActiveJobs.get(spec.id()));
        }
    }

    private void handleCancel(JobId job, CompletableFuture<JobRecord> result) {
        if (mHeldToken == 0) {
            result.complete(new JobRecord(null, JobState.UNKNOWN, NOT_PLACEMENT_OWNER, 0, ""));
            return;
        }
        JobRecord stored = mControlPlane.findJob(job).orElse(null);
        boolean ended = stored != null && stored.state().isFinal();
        if (ended && !mActiveJobs.containsKey(job) && !mUnconfirmedEnds.contains(job)) {
            result.complete(stored);
            return;
        }
        mWaitingCallers.addUntilEnded(job, result);
        handleEvent(new PlacementEvent.JobCancelled(job));
    }

    private void handleEvent(PlacementEvent event) {
        for (PlacementAction action : mCore.handle(event, nowMs())) {
            if (action instanceof PlacementAction.SendOrder send) {
                queueOrder(send);
            } else if (action instanceof PlacementAction.JobChanged change) {
                recordJobChange(change);
            }
        }
    }

    private void queueOrder(PlacementAction.SendOrder send) {
        WorkerSession session = mSessions.get(send.worker());
        if (session == null || mHeldToken == 0) {
            return;
        }
        if (send.order().kind() == OrderKind.ACK && mUnconfirmedEnds.defer(send)) {
            return;
        }
        if (session.addOrder(send.order(), MAX_PENDING_ORDERS)) {
            mWorkersToSend.add(send.worker());
        } else {
            // The core resends orders without a response.
            mMetrics.countShed("orders");
        }
    }

    private void recordJobChange(PlacementAction.JobChanged change) {
        JobRecord known = mActiveJobs.get(change.job());
        if (known == null) {
            known = mControlPlane.findJob(change.job()).orElse(null);
        }
        if (known == null) {
            return;
        }
        JobSpec spec = known.spec();
        JobRecord record = new JobRecord(spec, change.state(), change.reason(), mHeldToken, "");
        if (change.state().isFinal()) {
            mActiveJobs.remove(change.job());
            mUnconfirmedEnds.add(record);
        } else {
            mActiveJobs.put(change.job(), record);
        }
        mEvents.record(
                EventCode.JOB_CHANGED,
                spec.id().value(),
                "",
                spec.team().value(),
                change.state() + " " + change.reason());
        mControlPlane.updateJob(record);
        if (!change.state().isFinal() || !mStoredJobs.contains(change.job())) {
            mWaitingCallers.answerCallers(record);
        }
    }

    private void sendPendingOrders() {
        if (mWorkersToSend.isEmpty()) {
            return;
        }
        if (mHeldToken != 0 && !mControlPlane.mayActAsPlacementOwner(mHeldToken)) {
            // After a pause another entry may hold the role; the orders wait until it is confirmed.
            return;
        }
        List<WorkerId> workerIds = new ArrayList<>(mWorkersToSend);
        mWorkersToSend.clear();
        for (WorkerId id : workerIds) {
            WorkerSession session = mSessions.get(id);
            List<Order> batch = session == null ? List.of() : session.takeBatch();
            if (!batch.isEmpty()) {
                sendBatch(session, batch);
            }
        }
    }

    private void sendBatch(WorkerSession session, List<Order> batch) {
        long token = mHeldToken;
        WorkerInfo worker = session.workerInfo();
        for (Order order : batch) {
            if (order.kind() == OrderKind.RENEW) {
                // Hundreds of renewals per second would evict all other events from the event log.
                continue;
            }
            mEvents.record(
                    EventCode.ORDER_SENT,
                    order.job().value(),
                    "",
                    order.spec() == null ? "" : order.spec().team().value(),
                    order.kind() + " member " + order.member() + " to " + worker.id());
        }
        SentBatch sent =
                new SentBatch(
                        token,
                        batch,
                        session.knownVersion(),
                        session.buildRequest(mEntry, token, batch));
        if (sent.request().waitMs() > 0) {
            sendRenewal(session, sent);
            return;
        }
        mClient.sendOrders(worker, sent.request(), ORDER_TIMEOUT_MS)
                .whenComplete(
                        (answer, failure) ->
                                enqueueCompletion(
                                        () -> onOrdersAnswered(session, sent, answer, failure)));
    }

    /** Sends a long-poll renewal, which replaces report requests until its response. */
    private void sendRenewal(WorkerSession session, SentBatch sent) {
        session.beginRenewal();
        mClient.renew(session.workerInfo(), sent.request(), RENEWAL_TIMEOUT_MS)
                .whenComplete(
                        (answer, failure) ->
                                enqueueCompletion(
                                        () -> onRenewalEnded(session, sent, answer, failure)));
    }

    private void onRenewalEnded(
            WorkerSession session,
            SentBatch sent,
            Optional<OrdersResponse> answer,
            Throwable failure) {
        session.endRenewal(failure == null && answer.isEmpty(), nowMs());
        if (sent.token() != mHeldToken) {
            return;
        }
        if (failure != null) {
            session.onReportFailed();
            onCallFailed(session, failure);
        } else if (answer.isEmpty()) {
            session.reportIfVersion(sent.knownVersion())
                    .ifPresent(report -> handleReport(session, report));
            mMetrics.incrementCounter(
                    "lycheeroad.orders", "result", "answered", sent.orders().size());
        } else {
            if (answer.get().renewed() && answer.get().report() == null) {
                session.disableRenewalLongPoll();
            }
            mWorkersToSend.add(session.workerInfo().id());
            onOrdersAnswered(session, sent, answer.get());
            if (mHeldToken != 0) {
                pollReport(session);
            }
        }
    }

    private void onOrdersAnswered(
            WorkerSession session, SentBatch sent, OrdersResponse answer, Throwable failure) {
        session.endBatch();
        mWorkersToSend.add(session.workerInfo().id());
        if (sent.token() != mHeldToken) {
            return;
        }
        if (failure != null) {
            onCallFailed(session, failure);
            return;
        }
        onOrdersAnswered(session, sent, answer);
    }

    private void onOrdersAnswered(WorkerSession session, SentBatch sent, OrdersResponse answer) {
        if (sent.request().renewAllMs() > 0 && !answer.renewed()) {
            session.renewIndividually(sent.orders());
        }
        for (OrderResult result : answer.results()) {
            if (!result.accepted()) {
                mEvents.record(
                        EventCode.ORDER_REFUSED,
                        result.job().value(),
                        "",
                        "",
                        result.kind()
                                + " by "
                                + session.workerInfo().id()
                                + ": "
                                + result.reason());
            }
            handleEvent(
                    new PlacementEvent.OrderAnswered(
                            session.workerInfo().id(),
                            result.job(),
                            result.member(),
                            result.attempt(),
                            result.kind(),
                            result.accepted(),
                            result.reason()));
        }
        Optional.ofNullable(answer.report())
                .or(() -> session.reportIfVersion(sent.knownVersion()))
                .ifPresent(report -> handleReport(session, report));
        mMetrics.incrementCounter("lycheeroad.orders", "result", "answered", sent.orders().size());
    }

    private void pollReport(WorkerSession session) {
        if (!session.beginPoll(nowMs())) {
            return;
        }
        long token = mHeldToken;
        Optional<ReportVersion> known = session.knownVersion();
        long waitMs = session.takeReportWaitMs();
        mClient.fetchReport(session.workerInfo(), known, waitMs, waitMs + REPORT_TIMEOUT_MARGIN_MS)
                .whenComplete(
                        (report, failure) ->
                                enqueueCompletion(
                                        () -> {
                                            session.endPoll();
                                            if (token != mHeldToken) {
                                                return;
                                            }
                                            if (failure != null) {
                                                // The next tick polls again, as after an unchanged
                                                // report.
                                                session.onReportFailed();
                                                onCallFailed(session, failure);
                                            } else {
                                                onReportPolled(session, known, report);
                                            }
                                        }));
    }

    /**
     * Handles the response to a report request, which is empty if the known report is unchanged.
     *
     * <p>An unchanged report is passed to the core again: it confirms that the tasks still run, and
     * it makes the core resend lost orders to stop or acknowledge tasks.
     */
    private void onReportPolled(
            WorkerSession session, Optional<ReportVersion> known, Optional<WorkerReport> report) {
        report.or(() -> session.reportIfVersion(known)).ifPresent(r -> handleReport(session, r));
        if (report.isPresent() && mHeldToken != 0 && !session.knownVersion().equals(known)) {
            pollReport(session);
        }
    }

    /**
     * Enqueues the completion of a call, retrying while the queue is full.
     *
     * <p>A lost completion would block its worker's session. There is at most one per call.
     */
    private void enqueueCompletion(Runnable message) {
        if (!mLoop.offer(message)) {
            mMetrics.countShed("placement");
            CompletableFuture.delayedExecutor(TICK_INTERVAL_MS, TimeUnit.MILLISECONDS)
                    .execute(
                            () -> {
                                if (!mStopped) {
                                    enqueueCompletion(message);
                                }
                            });
        }
    }

    private void handleReport(WorkerSession session, WorkerReport report) {
        if (!mSessions.containsKey(session.workerInfo().id()) || !session.acceptReport(report)) {
            return;
        }
        if (report.token() > mHeldToken) {
            onTokenRefused(session, report.token());
            return;
        }
        for (TaskReport task : report.tasks()) {
            if (task.spec() != null
                    && task.state().holdsAccelerators()
                    && !mUnconfirmedEnds.contains(task.job())) {
                // Jobs that are not in the store, such as urgent ones, are learned from reports.
                mActiveJobs.putIfAbsent(
                        task.job(),
                        new JobRecord(task.spec(), JobState.QUEUED, "", mHeldToken, ""));
            }
        }
        handleEvent(new PlacementEvent.WorkerReported(report));
    }

    private void onCallFailed(WorkerSession session, Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        if (failure instanceof StaleTokenException stale) {
            onTokenRefused(session, stale.greatestToken());
        } else if (cause instanceof StaleTokenException stale) {
            onTokenRefused(session, stale.greatestToken());
        } else {
            mEvents.record(EventCode.WORKER_UNREACHABLE, session.workerInfo().id().value());
            handleEvent(new PlacementEvent.WorkerUnreachable(session.workerInfo().id()));
        }
    }

    private void onTokenRefused(WorkerSession session, long token) {
        if (token <= mHeldToken || mHeldToken == 0) {
            return;
        }
        mEvents.record(
                EventCode.TOKEN_REFUSED,
                session.workerInfo().id()
                        + " has seen token "
                        + token
                        + ", this entry holds "
                        + mHeldToken);
        endOwnership();
        mControlPlane.reportTokenRefused(token);
    }

    private void updateJobCounts() {
        Map<JobState, Integer> counts = new HashMap<>();
        mActiveJobs.values().forEach(job -> counts.merge(job.state(), 1, Integer::sum));
        mJobCounts = counts;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** A batch of orders in flight and the report version with which it was sent. */
    private record SentBatch(
            long token,
            List<Order> orders,
            Optional<ReportVersion> knownVersion,
            OrdersRequest request) {}
}
