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
import org.lycheeroad.protocol.worker.OrdersAnswer;
import org.lycheeroad.protocol.worker.OrdersRequest;
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
import org.lycheeroad.transport.duty.Duty;
import org.lycheeroad.transport.duty.DutyHandler;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.worker.StaleTokenException;
import org.lycheeroad.transport.worker.WorkerClient;

/**
 * Feeds the placement core of this entry's region and carries out its actions.
 *
 * <p>Everything runs on the duty's thread. Workers are only called while this entry owns the
 * placement; a worker that obeys a greater token ends the ownership at once.
 */
public final class PlacementService implements DutyHandler<Runnable>, ControlListener {
    private static final int QUEUE_CAPACITY = 8_192;
    private static final long TICK_INTERVAL_MS = 100;

    /** Added to the wait of a report call; ends it before the core counts the worker as silent. */
    private static final long REPORT_TIMEOUT_MARGIN_MS = 800;

    /** The time between ticks while another entry owns the placement. */
    private static final long IDLE_TICK_INTERVAL_MS = 1_000;

    private static final long ORDER_TIMEOUT_MS = 1_000;

    /** Ends before the core counts the worker as silent, 2.5 s after the answer before. */
    private static final long RENEWAL_TIMEOUT_MS = WorkerSession.RENEWAL_POLL_WAIT_MS + 500;

    private static final int MAX_PENDING_ORDERS = 1_024;

    /** Leaves time to settle a cancellation within the 8.6 s that urgent work may wait. */
    private static final long URGENT_TIMEOUT_MS = 7_800;

    private static final long CANCEL_TIMEOUT_MS = 10_000;

    private final EntryId mEntry;
    private final RegionId mRegion;
    private final PlacementCore mCore;
    private final ControlPlane mControlPlane;
    private final WorkerClient mClient;
    private final EventLog mEvents;
    private final EntryMetrics mMetrics;
    private final Duty<Runnable> mLoop;
    private final Map<WorkerId, WorkerSession> mSessions = new LinkedHashMap<>();
    private final Map<JobId, JobRecord> mActiveJobs = new HashMap<>();
    private final Set<JobId> mStoredJobs = new HashSet<>();
    private final UnconfirmedJobEnds mUnconfirmedEnds = new UnconfirmedJobEnds();
    private final WaitingCallers mWaitingCallers = new WaitingCallers(CANCEL_TIMEOUT_MS);
    private final Set<WorkerId> mWorkersToSend = new HashSet<>();
    private volatile long mToken;
    private volatile boolean mStopped;
    private volatile Map<JobState, Integer> mJobCounts = Map.of();

    /** Creates the duty; it has to be added to the control plane as a listener. */
    public PlacementService(
            EntryId entry,
            RegionId region,
            PlacementCore core,
            ControlPlane control,
            WorkerClient client,
            EventLog events,
            EntryMetrics metrics) {
        mEntry = entry;
        mRegion = region;
        mCore = core;
        mControlPlane = control;
        mClient = client;
        mEvents = events;
        mMetrics = metrics;
        mLoop =
                new Duty<>(
                        "placement", QUEUE_CAPACITY, TICK_INTERVAL_MS, IDLE_TICK_INTERVAL_MS, this);
    }

    /** Starts the thread. */
    public void start() {
        mLoop.start();
    }

    /** Stops the thread after the messages in the ring. */
    public void stop() {
        mStopped = true;
        mLoop.stop();
    }

    /** Returns the number of messages waiting. */
    public int queueLength() {
        return mLoop.depth();
    }

    /** Returns the fencing token under which this entry owns the placement, or 0. */
    public long token() {
        return mToken;
    }

    /** Returns the number of known jobs in a state. */
    public int jobCount(JobState state) {
        return mJobCounts.getOrDefault(state, 0);
    }

    /** Tells the core which workers the region has. */
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
    public void onUrgentSubmit(JobSpec spec, CompletableFuture<JobRecord> answer) {
        if (!mLoop.offer(() -> handleUrgentSubmit(spec, answer))) {
            mMetrics.shed("placement");
            answer.complete(new JobRecord(spec, JobState.NOT_RUN, "overloaded", 0, ""));
        }
    }

    @Override
    public void onCancel(JobId job, CompletableFuture<JobRecord> answer) {
        if (!mLoop.offer(() -> handleCancel(job, answer))) {
            mMetrics.shed("placement");
            answer.completeExceptionally(new IllegalStateException("placement is overloaded"));
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
        if (mToken != 0) {
            mSessions.values().forEach(this::pollReport);
        }
        sendPendingOrders();
        updateJobCounts();
    }

    @Override
    public boolean isIdle() {
        return mToken == 0 && mWaitingCallers.isEmpty();
    }

    private void enqueue(Runnable message) {
        if (!mLoop.offer(message)) {
            mMetrics.shed("placement");
            mEvents.record(EventCode.WORK_SHED, "placement");
        }
    }

    private void startOwnership(long token) {
        mToken = token;
        handleEvent(new PlacementEvent.OwnershipGained(token));
        new ArrayList<>(mActiveJobs.values())
                .forEach(job -> handleEvent(new PlacementEvent.JobSubmitted(job.spec())));
        mSessions.values().forEach(this::pollReport);
    }

    private void endOwnership() {
        if (mToken == 0) {
            return;
        }
        mToken = 0;
        mSessions.values().forEach(WorkerSession::reset);
        mUnconfirmedEnds.dropAcknowledgements();
        handleEvent(new PlacementEvent.OwnershipLost());
    }

    private void updateWorkers(List<WorkerInfo> workers) {
        Set<WorkerId> listed = new HashSet<>();
        for (WorkerInfo worker : workers) {
            listed.add(worker.id());
            WorkerSession link =
                    mSessions.computeIfAbsent(worker.id(), id -> new WorkerSession(worker));
            link.workerInfo(worker);
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
        if (known == null && mToken != 0) {
            handleEvent(new PlacementEvent.JobSubmitted(record.spec()));
        } else if (known != null && mToken == 0) {
            mActiveJobs.put(id, record);
        }
    }

    private void handleUrgentSubmit(JobSpec spec, CompletableFuture<JobRecord> answer) {
        JobRecord queued = new JobRecord(spec, JobState.QUEUED, "", mToken, "");
        if (mToken == 0) {
            answer.complete(new JobRecord(spec, JobState.NOT_RUN, NOT_PLACEMENT_OWNER, 0, ""));
            return;
        }
        mWaitingCallers.addUntilRunning(spec.id(), answer, URGENT_TIMEOUT_MS);
        if (mActiveJobs.putIfAbsent(spec.id(), queued) == null) {
            handleEvent(new PlacementEvent.JobSubmitted(spec));
        } else if (mActiveJobs.get(spec.id()).state() == JobState.RUNNING) {
            mWaitingCallers.answerCallers(mActiveJobs.get(spec.id()));
        }
    }

    private void handleCancel(JobId job, CompletableFuture<JobRecord> answer) {
        if (mToken == 0) {
            answer.complete(new JobRecord(null, JobState.UNKNOWN, NOT_PLACEMENT_OWNER, 0, ""));
            return;
        }
        JobRecord stored = mControlPlane.findJob(job).orElse(null);
        boolean ended = stored != null && stored.state().isFinal();
        if (ended && !mActiveJobs.containsKey(job) && !mUnconfirmedEnds.contains(job)) {
            answer.complete(stored);
            return;
        }
        mWaitingCallers.addUntilEnded(job, answer);
        handleEvent(new PlacementEvent.JobCancelled(job));
    }

    private void handleEvent(PlacementEvent event) {
        for (PlacementAction action : mCore.handle(event, nowMillis())) {
            if (action instanceof PlacementAction.SendOrder send) {
                queueOrder(send);
            } else if (action instanceof PlacementAction.JobChanged change) {
                recordJobChange(change);
            }
        }
    }

    private void queueOrder(PlacementAction.SendOrder send) {
        WorkerSession link = mSessions.get(send.worker());
        if (link == null || mToken == 0) {
            return;
        }
        if (send.order().kind() == OrderKind.ACK && mUnconfirmedEnds.defer(send)) {
            return;
        }
        if (link.addOrder(send.order(), MAX_PENDING_ORDERS)) {
            mWorkersToSend.add(send.worker());
        } else {
            // The core sends unanswered orders again.
            mMetrics.shed("orders");
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
        JobRecord record = new JobRecord(spec, change.state(), change.reason(), mToken, "");
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
        if (mToken != 0 && !mControlPlane.mayActAsPlacementOwner(mToken)) {
            // After a pause the role may have moved on; the orders wait until it is confirmed.
            return;
        }
        List<WorkerId> touched = new ArrayList<>(mWorkersToSend);
        mWorkersToSend.clear();
        for (WorkerId id : touched) {
            WorkerSession link = mSessions.get(id);
            List<Order> batch = link == null ? List.of() : link.takeBatch();
            if (!batch.isEmpty()) {
                sendBatch(link, batch);
            }
        }
    }

    private void sendBatch(WorkerSession link, List<Order> batch) {
        long token = mToken;
        WorkerInfo worker = link.workerInfo();
        for (Order order : batch) {
            if (order.kind() == OrderKind.RENEW) {
                // Hundreds of renewals a second would push all other events out of the ring.
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
                        token, batch, link.knownVersion(), link.buildRequest(mEntry, token, batch));
        if (sent.request().waitMs() > 0) {
            sendRenewal(link, sent);
            return;
        }
        mClient.order(worker, sent.request(), ORDER_TIMEOUT_MS)
                .whenComplete(
                        (answer, e) ->
                                enqueueCompletion(() -> onOrdersAnswered(link, sent, answer, e)));
    }

    /** Sends a renewal that takes the place of a report call until it is answered. */
    private void sendRenewal(WorkerSession link, SentBatch sent) {
        link.beginRenewal();
        mClient.renew(link.workerInfo(), sent.request(), RENEWAL_TIMEOUT_MS)
                .whenComplete(
                        (answer, e) ->
                                enqueueCompletion(() -> onRenewalEnded(link, sent, answer, e)));
    }

    private void onRenewalEnded(
            WorkerSession link, SentBatch sent, Optional<OrdersAnswer> answer, Throwable e) {
        link.endRenewal(e == null && answer.isEmpty(), nowMillis());
        if (sent.token() != mToken) {
            return;
        }
        if (e != null) {
            link.onReportFailed();
            onCallFailed(link, e);
        } else if (answer.isEmpty()) {
            link.reportIfVersion(sent.knownVersion())
                    .ifPresent(report -> handleReport(link, report));
            mMetrics.count("lycheeroad.orders", "result", "answered", sent.orders().size());
        } else {
            if (answer.get().renewed() && answer.get().report() == null) {
                link.disableRenewalLongPoll();
            }
            mWorkersToSend.add(link.workerInfo().id());
            onOrdersAnswered(link, sent, answer.get());
            if (mToken != 0) {
                pollReport(link);
            }
        }
    }

    private void onOrdersAnswered(
            WorkerSession link, SentBatch sent, OrdersAnswer answer, Throwable e) {
        link.endBatch();
        mWorkersToSend.add(link.workerInfo().id());
        if (sent.token() != mToken) {
            return;
        }
        if (e != null) {
            onCallFailed(link, e);
            return;
        }
        onOrdersAnswered(link, sent, answer);
    }

    private void onOrdersAnswered(WorkerSession link, SentBatch sent, OrdersAnswer answer) {
        if (sent.request().renewAllMs() > 0 && !answer.renewed()) {
            link.renewIndividually(sent.orders());
        }
        for (OrderResult result : answer.results()) {
            if (!result.accepted()) {
                mEvents.record(
                        EventCode.ORDER_REFUSED,
                        result.job().value(),
                        "",
                        "",
                        result.kind() + " by " + link.workerInfo().id() + ": " + result.reason());
            }
            handleEvent(
                    new PlacementEvent.OrderAnswered(
                            link.workerInfo().id(),
                            result.job(),
                            result.member(),
                            result.attempt(),
                            result.kind(),
                            result.accepted(),
                            result.reason()));
        }
        Optional.ofNullable(answer.report())
                .or(() -> link.reportIfVersion(sent.knownVersion()))
                .ifPresent(report -> handleReport(link, report));
        mMetrics.count("lycheeroad.orders", "result", "answered", sent.orders().size());
    }

    private void pollReport(WorkerSession link) {
        if (!link.beginPoll(nowMillis())) {
            return;
        }
        long token = mToken;
        Optional<ReportVersion> known = link.knownVersion();
        long wait = link.takeReportWaitMs();
        mClient.report(link.workerInfo(), known, wait, wait + REPORT_TIMEOUT_MARGIN_MS)
                .whenComplete(
                        (report, e) ->
                                enqueueCompletion(
                                        () -> {
                                            link.endPoll();
                                            if (token != mToken) {
                                                return;
                                            }
                                            if (e != null) {
                                                // The next tick polls again, as after an answer
                                                // without news.
                                                link.onReportFailed();
                                                onCallFailed(link, e);
                                            } else {
                                                onReportPolled(link, known, report);
                                            }
                                        }));
    }

    /**
     * Handles a report call's answer, which is empty when the known report has not changed.
     *
     * <p>The core sees an unchanged report again, as it is the fresh proof that the tasks run, and
     * the core repeats its lost orders for tasks that it wants stopped or acknowledged.
     */
    private void onReportPolled(
            WorkerSession link, Optional<ReportVersion> known, Optional<WorkerReport> report) {
        report.or(() -> link.reportIfVersion(known)).ifPresent(r -> handleReport(link, r));
        if (report.isPresent() && mToken != 0 && !link.knownVersion().equals(known)) {
            pollReport(link);
        }
    }

    /** A lost completion would block its worker, and there is at most one per call. */
    private void enqueueCompletion(Runnable message) {
        if (!mLoop.offer(message)) {
            mMetrics.shed("placement");
            CompletableFuture.delayedExecutor(TICK_INTERVAL_MS, TimeUnit.MILLISECONDS)
                    .execute(
                            () -> {
                                if (!mStopped) {
                                    enqueueCompletion(message);
                                }
                            });
        }
    }

    private void handleReport(WorkerSession link, WorkerReport report) {
        if (!mSessions.containsKey(link.workerInfo().id()) || !link.acceptReport(report)) {
            return;
        }
        if (report.token() > mToken) {
            onTokenRefused(link, report.token());
            return;
        }
        for (TaskReport task : report.tasks()) {
            if (task.spec() != null
                    && task.state().holdsAccelerators()
                    && !mUnconfirmedEnds.contains(task.job())) {
                // A job that the store does not show, such as an urgent one, is known from here.
                mActiveJobs.putIfAbsent(
                        task.job(), new JobRecord(task.spec(), JobState.QUEUED, "", mToken, ""));
            }
        }
        handleEvent(new PlacementEvent.WorkerReported(report));
    }

    private void onCallFailed(WorkerSession link, Throwable e) {
        Throwable cause = e.getCause() == null ? e : e.getCause();
        if (e instanceof StaleTokenException stale) {
            onTokenRefused(link, stale.token());
        } else if (cause instanceof StaleTokenException stale) {
            onTokenRefused(link, stale.token());
        } else {
            mEvents.record(EventCode.WORKER_UNREACHABLE, link.workerInfo().id().value());
            handleEvent(new PlacementEvent.WorkerUnreachable(link.workerInfo().id()));
        }
    }

    private void onTokenRefused(WorkerSession link, long token) {
        if (token <= mToken || mToken == 0) {
            return;
        }
        mEvents.record(
                EventCode.TOKEN_REFUSED,
                link.workerInfo().id()
                        + " has seen token "
                        + token
                        + ", this entry holds "
                        + mToken);
        endOwnership();
        mControlPlane.reportTokenRefused(token);
    }

    private void updateJobCounts() {
        Map<JobState, Integer> counts = new HashMap<>();
        mActiveJobs.values().forEach(job -> counts.merge(job.state(), 1, Integer::sum));
        mJobCounts = counts;
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** A batch on its way and the version of the worker's report that it was sent with. */
    private record SentBatch(
            long token,
            List<Order> orders,
            Optional<ReportVersion> knownVersion,
            OrdersRequest request) {}
}
