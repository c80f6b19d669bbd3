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
 * Feeds the placement core of this entry's region and carries out its actions.
 *
 * <p>Everything runs on the duty's thread. Workers are only called while this entry owns the
 * placement; a worker that obeys a greater token ends the ownership at once.
 */
public final class PlacementDuty implements MessageLoopHandler<Runnable>, ControlListener {
    private static final int RING = 8_192;
    private static final long TICK_MS = 100;

    /** Added to the wait of a report call; ends it before the core counts the worker as silent. */
    private static final long REPORT_MARGIN_MS = 800;

    /** The time between ticks while another entry owns the placement. */
    private static final long IDLE_TICK_MS = 1_000;

    private static final long ORDER_TIMEOUT_MS = 1_000;

    /** Ends before the core counts the worker as silent, 2.5 s after the answer before. */
    private static final long RENEWAL_TIMEOUT_MS = WorkerLink.RENEWAL_WAIT_MS + 500;

    private static final int MAX_ORDERS_WAITING = 1_024;

    /** Leaves time to settle a cancellation within the 8.6 s that urgent work may wait. */
    private static final long URGENT_WAIT_MS = 7_800;

    private static final long CANCEL_WAIT_MS = 10_000;

    private final EntryId mEntry;
    private final RegionId mRegion;
    private final PlacementCore mCore;
    private final ControlPlane mControl;
    private final WorkerClient mClient;
    private final EventLog mEvents;
    private final EntryMetrics mMetrics;
    private final MessageLoop<Runnable> mDuty;
    private final Map<WorkerId, WorkerLink> mLinks = new LinkedHashMap<>();
    private final Map<JobId, JobRecord> mJobs = new HashMap<>();
    private final Set<JobId> mStored = new HashSet<>();
    private final EndedJobs mEnded = new EndedJobs();
    private final WaitingCallers mCallers = new WaitingCallers(CANCEL_WAIT_MS);
    private final Set<WorkerId> mTouched = new HashSet<>();
    private volatile long mToken;
    private volatile boolean mStopped;
    private volatile Map<JobState, Integer> mCounts = Map.of();

    /** Creates the duty; it has to be added to the control plane as a listener. */
    public PlacementDuty(
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
        mControl = control;
        mClient = client;
        mEvents = events;
        mMetrics = metrics;
        mDuty = new MessageLoop<>("placement", RING, TICK_MS, IDLE_TICK_MS, this);
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Stops the thread after the messages in the ring. */
    public void stop() {
        mStopped = true;
        mDuty.stop();
    }

    /** Returns the number of messages waiting. */
    public int depth() {
        return mDuty.queueLength();
    }

    /** Returns the fencing token under which this entry owns the placement, or 0. */
    public long token() {
        return mToken;
    }

    /** Returns the number of known jobs in a state. */
    public int jobs(JobState state) {
        return mCounts.getOrDefault(state, 0);
    }

    /** Tells the core which workers the region has. */
    public void onWorkers(List<WorkerInfo> workers) {
        offer(() -> workersChanged(workers));
    }

    @Override
    public void onTable(OperatorTable table) {
        offer(() -> apply(new PlacementEvent.TableChanged(table)));
    }

    @Override
    public void onPlacementGained(long token) {
        offer(() -> gained(token));
    }

    @Override
    public void onPlacementLost() {
        offer(() -> lost());
    }

    @Override
    public void onJob(JobRecord record) {
        if (record.spec().region().equals(mRegion)) {
            offer(() -> jobSeen(record));
        }
    }

    @Override
    public void onUrgentSubmit(JobSpec spec, CompletableFuture<JobRecord> answer) {
        if (!mDuty.offer(() -> urgentSubmitted(spec, answer))) {
            mMetrics.countShed("placement");
            answer.complete(new JobRecord(spec, JobState.NOT_RUN, "overloaded", 0, ""));
        }
    }

    @Override
    public void onCancel(JobId job, CompletableFuture<JobRecord> answer) {
        if (!mDuty.offer(() -> cancelled(job, answer))) {
            mMetrics.countShed("placement");
            answer.completeExceptionally(new IllegalStateException("placement is overloaded"));
        }
    }

    @Override
    public void handle(Runnable message) {
        message.run();
        sendTouched();
    }

    @Override
    public void tick() {
        apply(new PlacementEvent.Tick());
        mCallers.expire().forEach(job -> apply(new PlacementEvent.JobCancelled(job)));
        if (mToken != 0) {
            mLinks.values().forEach(this::poll);
        }
        sendTouched();
        countJobs();
    }

    @Override
    public boolean isIdle() {
        return mToken == 0 && mCallers.isEmpty();
    }

    private void offer(Runnable message) {
        if (!mDuty.offer(message)) {
            mMetrics.countShed("placement");
            mEvents.record(EventCode.WORK_SHED, "placement");
        }
    }

    private void gained(long token) {
        mToken = token;
        apply(new PlacementEvent.OwnershipGained(token));
        new ArrayList<>(mJobs.values())
                .forEach(job -> apply(new PlacementEvent.JobSubmitted(job.spec())));
        mLinks.values().forEach(this::poll);
    }

    private void lost() {
        if (mToken == 0) {
            return;
        }
        mToken = 0;
        mLinks.values().forEach(WorkerLink::clear);
        mEnded.dropAcknowledgements();
        apply(new PlacementEvent.OwnershipLost());
    }

    private void workersChanged(List<WorkerInfo> workers) {
        Set<WorkerId> listed = new HashSet<>();
        for (WorkerInfo worker : workers) {
            listed.add(worker.id());
            WorkerLink link = mLinks.computeIfAbsent(worker.id(), id -> new WorkerLink(worker));
            link.info(worker);
        }
        mLinks.keySet().retainAll(listed);
        apply(new PlacementEvent.WorkersChanged(workers));
    }

    private void jobSeen(JobRecord record) {
        JobId id = record.spec().id();
        if (record.state().isFinal()) {
            mJobs.remove(id);
            mStored.remove(id);
            mEnded.remove(id).forEach(this::queueOrder);
            mCallers.settle(record);
            return;
        }
        if (mEnded.isOutdated(record)) {
            return;
        }
        mEnded.remove(id);
        mStored.add(id);
        JobRecord known = mJobs.putIfAbsent(id, record);
        if (known == null && mToken != 0) {
            apply(new PlacementEvent.JobSubmitted(record.spec()));
        } else if (known != null && mToken == 0) {
            mJobs.put(id, record);
        }
    }

    private void urgentSubmitted(JobSpec spec, CompletableFuture<JobRecord> answer) {
        JobRecord queued = new JobRecord(spec, JobState.QUEUED, "", mToken, "");
        if (mToken == 0) {
            answer.complete(new JobRecord(spec, JobState.NOT_RUN, NOT_PLACEMENT_OWNER, 0, ""));
            return;
        }
        mCallers.untilRunning(spec.id(), answer, URGENT_WAIT_MS);
        if (mJobs.putIfAbsent(spec.id(), queued) == null) {
            apply(new PlacementEvent.JobSubmitted(spec));
        } else if (mJobs.get(spec.id()).state() == JobState.RUNNING) {
            mCallers.settle(mJobs.get(spec.id()));
        }
    }

    private void cancelled(JobId job, CompletableFuture<JobRecord> answer) {
        if (mToken == 0) {
            answer.complete(new JobRecord(null, JobState.UNKNOWN, NOT_PLACEMENT_OWNER, 0, ""));
            return;
        }
        JobRecord stored = mControl.job(job).orElse(null);
        boolean ended = stored != null && stored.state().isFinal();
        if (ended && !mJobs.containsKey(job) && !mEnded.contains(job)) {
            answer.complete(stored);
            return;
        }
        mCallers.untilEnded(job, answer);
        apply(new PlacementEvent.JobCancelled(job));
    }

    private void apply(PlacementEvent event) {
        for (PlacementAction action : mCore.handle(event, nowMillis())) {
            if (action instanceof PlacementAction.SendOrder send) {
                queueOrder(send);
            } else if (action instanceof PlacementAction.JobChanged change) {
                jobChanged(change);
            }
        }
    }

    private void queueOrder(PlacementAction.SendOrder send) {
        WorkerLink link = mLinks.get(send.worker());
        if (link == null || mToken == 0) {
            return;
        }
        if (send.order().kind() == OrderKind.ACK && mEnded.hold(send)) {
            return;
        }
        if (link.add(send.order(), MAX_ORDERS_WAITING)) {
            mTouched.add(send.worker());
        } else {
            // The core sends unanswered orders again.
            mMetrics.countShed("orders");
        }
    }

    private void jobChanged(PlacementAction.JobChanged change) {
        JobRecord known = mJobs.get(change.job());
        if (known == null) {
            known = mControl.job(change.job()).orElse(null);
        }
        if (known == null) {
            return;
        }
        JobSpec spec = known.spec();
        JobRecord record = new JobRecord(spec, change.state(), change.reason(), mToken, "");
        if (change.state().isFinal()) {
            mJobs.remove(change.job());
            mEnded.add(record);
        } else {
            mJobs.put(change.job(), record);
        }
        mEvents.record(
                EventCode.JOB_CHANGED,
                spec.id().value(),
                "",
                spec.team().value(),
                change.state() + " " + change.reason());
        mControl.updateJob(record);
        if (!change.state().isFinal() || !mStored.contains(change.job())) {
            mCallers.settle(record);
        }
    }

    private void sendTouched() {
        if (mTouched.isEmpty()) {
            return;
        }
        if (mToken != 0 && !mControl.mayActAsOwner(mToken)) {
            // After a pause the role may have moved on; the orders wait until it is confirmed.
            return;
        }
        List<WorkerId> touched = new ArrayList<>(mTouched);
        mTouched.clear();
        for (WorkerId id : touched) {
            WorkerLink link = mLinks.get(id);
            List<Order> batch = link == null ? List.of() : link.takeBatch();
            if (!batch.isEmpty()) {
                send(link, batch);
            }
        }
    }

    private void send(WorkerLink link, List<Order> batch) {
        long token = mToken;
        WorkerInfo worker = link.info();
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
        Sent sent = new Sent(token, batch, link.known(), link.request(mEntry, token, batch));
        if (sent.request().waitMs() > 0) {
            renew(link, sent);
            return;
        }
        mClient.sendOrders(worker, sent.request(), ORDER_TIMEOUT_MS)
                .whenComplete(
                        (answer, e) ->
                                offerCompletion(() -> ordersAnswered(link, sent, answer, e)));
    }

    /** Sends a renewal that takes the place of a report call until it is answered. */
    private void renew(WorkerLink link, Sent sent) {
        link.beginRenewal();
        mClient.renew(link.info(), sent.request(), RENEWAL_TIMEOUT_MS)
                .whenComplete(
                        (answer, e) -> offerCompletion(() -> renewalEnded(link, sent, answer, e)));
    }

    private void renewalEnded(
            WorkerLink link, Sent sent, Optional<OrdersResponse> answer, Throwable e) {
        link.endRenewal(e == null && answer.isEmpty(), nowMillis());
        if (sent.token() != mToken) {
            return;
        }
        if (e != null) {
            link.reportFailed();
            callFailed(link, e);
        } else if (answer.isEmpty()) {
            link.reportAt(sent.known()).ifPresent(report -> reported(link, report));
            mMetrics.incrementCounter(
                    "lycheeroad.orders", "result", "answered", sent.batch().size());
        } else {
            if (answer.get().renewed() && answer.get().report() == null) {
                link.waitIsUnknown();
            }
            mTouched.add(link.info().id());
            ordersAnswered(link, sent, answer.get());
            if (mToken != 0) {
                poll(link);
            }
        }
    }

    private void ordersAnswered(WorkerLink link, Sent sent, OrdersResponse answer, Throwable e) {
        link.batchEnded();
        mTouched.add(link.info().id());
        if (sent.token() != mToken) {
            return;
        }
        if (e != null) {
            callFailed(link, e);
            return;
        }
        ordersAnswered(link, sent, answer);
    }

    private void ordersAnswered(WorkerLink link, Sent sent, OrdersResponse answer) {
        if (sent.request().renewAllMs() > 0 && !answer.renewed()) {
            link.renewOneByOne(sent.batch());
        }
        for (OrderResult result : answer.results()) {
            if (!result.accepted()) {
                mEvents.record(
                        EventCode.ORDER_REFUSED,
                        result.job().value(),
                        "",
                        "",
                        result.kind() + " by " + link.info().id() + ": " + result.reason());
            }
            apply(
                    new PlacementEvent.OrderAnswered(
                            link.info().id(),
                            result.job(),
                            result.member(),
                            result.attempt(),
                            result.kind(),
                            result.accepted(),
                            result.reason()));
        }
        Optional.ofNullable(answer.report())
                .or(() -> link.reportAt(sent.known()))
                .ifPresent(report -> reported(link, report));
        mMetrics.incrementCounter("lycheeroad.orders", "result", "answered", sent.batch().size());
    }

    private void poll(WorkerLink link) {
        if (!link.beginPoll(nowMillis())) {
            return;
        }
        long token = mToken;
        Optional<ReportVersion> known = link.known();
        long wait = link.reportWait();
        mClient.fetchReport(link.info(), known, wait, wait + REPORT_MARGIN_MS)
                .whenComplete(
                        (report, e) ->
                                offerCompletion(
                                        () -> {
                                            link.endPoll();
                                            if (token != mToken) {
                                                return;
                                            }
                                            if (e != null) {
                                                // The next tick polls again, as after an answer
                                                // without news.
                                                link.reportFailed();
                                                callFailed(link, e);
                                            } else {
                                                polled(link, known, report);
                                            }
                                        }));
    }

    /**
     * Handles a report call's answer, which is empty when the known report has not changed.
     *
     * <p>The core sees an unchanged report again, as it is the fresh proof that the tasks run, and
     * the core repeats its lost orders for tasks that it wants stopped or acknowledged.
     */
    private void polled(
            WorkerLink link, Optional<ReportVersion> known, Optional<WorkerReport> report) {
        report.or(() -> link.reportAt(known)).ifPresent(r -> reported(link, r));
        if (report.isPresent() && mToken != 0 && !link.known().equals(known)) {
            poll(link);
        }
    }

    /** A lost completion would block its worker, and there is at most one per call. */
    private void offerCompletion(Runnable message) {
        if (!mDuty.offer(message)) {
            mMetrics.countShed("placement");
            CompletableFuture.delayedExecutor(TICK_MS, TimeUnit.MILLISECONDS)
                    .execute(
                            () -> {
                                if (!mStopped) {
                                    offerCompletion(message);
                                }
                            });
        }
    }

    private void reported(WorkerLink link, WorkerReport report) {
        if (!mLinks.containsKey(link.info().id()) || !link.accept(report)) {
            return;
        }
        if (report.token() > mToken) {
            refused(link, report.token());
            return;
        }
        for (TaskReport task : report.tasks()) {
            if (task.spec() != null
                    && task.state().holdsAccelerators()
                    && !mEnded.contains(task.job())) {
                // A job that the store does not show, such as an urgent one, is known from here.
                mJobs.putIfAbsent(
                        task.job(), new JobRecord(task.spec(), JobState.QUEUED, "", mToken, ""));
            }
        }
        apply(new PlacementEvent.WorkerReported(report));
    }

    private void callFailed(WorkerLink link, Throwable e) {
        Throwable cause = e.getCause() == null ? e : e.getCause();
        if (e instanceof StaleTokenException stale) {
            refused(link, stale.greatestToken());
        } else if (cause instanceof StaleTokenException stale) {
            refused(link, stale.greatestToken());
        } else {
            mEvents.record(EventCode.WORKER_UNREACHABLE, link.info().id().value());
            apply(new PlacementEvent.WorkerUnreachable(link.info().id()));
        }
    }

    private void refused(WorkerLink link, long token) {
        if (token <= mToken || mToken == 0) {
            return;
        }
        mEvents.record(
                EventCode.TOKEN_REFUSED,
                link.info().id() + " has seen token " + token + ", this entry holds " + mToken);
        lost();
        mControl.refusedToken(token);
    }

    private void countJobs() {
        Map<JobState, Integer> counts = new HashMap<>();
        mJobs.values().forEach(job -> counts.merge(job.state(), 1, Integer::sum));
        mCounts = counts;
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** A batch on its way and the version of the worker's report that it was sent with. */
    private record Sent(
            long token, List<Order> batch, Optional<ReportVersion> known, OrdersRequest request) {}
}
