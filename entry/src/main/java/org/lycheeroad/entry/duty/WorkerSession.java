package org.lycheeroad.entry.duty;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheeroad.protocol.worker.OrdersRequest;
import org.lycheeroad.protocol.worker.ReportVersion;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskReport;
import org.lycheeroad.state.task.TaskState;
import org.lycheeroad.state.task.WorkerReport;
import org.lycheeroad.state.topology.WorkerInfo;

/**
 * The orders waiting for one worker and what was last read from it.
 *
 * <p>At most one batch is on its way at a time, so that a worker receives orders in the order in
 * which they were decided. An order that is already waiting is not added again. A renewal that the
 * worker keeps back does not count: it is bound to a version of the report, so that orders which
 * overtake it make the worker refuse it.
 */
final class WorkerSession {
    /**
     * How long a worker keeps a renewal back; the next one comes after 2 s, give or take a tick, so
     * that this one has been answered before.
     */
    static final long RENEWAL_POLL_WAIT_MS = 1_700;

    /** The time after a kept back renewal in which the next one is expected, with three ticks. */
    private static final long NEXT_RENEWAL_GRACE_MS = 600;

    /** Used for tasks that are not being renewed, such as those of a gang that starts. */
    private static final long ACTIVE_REPORT_WAIT_MS = 1_000;

    /** The core counts a worker without tasks as silent only 4 s after its last report. */
    private static final long IDLE_REPORT_WAIT_MS = 3_000;

    private final LinkedHashSet<Order> mPendingOrders = new LinkedHashSet<>();
    private WorkerInfo mWorkerInfo;
    private boolean mBatchInFlight;
    private boolean mPollInFlight;
    private boolean mRenewalInFlight;
    private boolean mLastReportFailed;
    private boolean mLongPollUnsupported;
    private boolean mRenewIndividually;
    private long mNextPollAtMs = Long.MIN_VALUE;
    private long mIncarnation;
    private long mSequence;
    private WorkerReport mLastReport;

    WorkerSession(WorkerInfo info) {
        mWorkerInfo = info;
    }

    WorkerInfo workerInfo() {
        return mWorkerInfo;
    }

    void workerInfo(WorkerInfo info) {
        mWorkerInfo = info;
    }

    /** Adds an order; returns false when too many are waiting. */
    boolean addOrder(Order order, int max) {
        if (mPendingOrders.size() >= max && !mPendingOrders.contains(order)) {
            return false;
        }
        mPendingOrders.add(order);
        return true;
    }

    /** Takes the next batch if none is on its way; empty if there is nothing to send. */
    List<Order> takeBatch() {
        if (mBatchInFlight || mPendingOrders.isEmpty()) {
            return List.of();
        }
        List<Order> batch = new ArrayList<>(mPendingOrders);
        mPendingOrders.clear();
        mBatchInFlight = true;
        return batch;
    }

    /**
     * Returns the request that carries a batch.
     *
     * <p>When the batch renews exactly the tasks that the worker reports as running, one lease for
     * all of them takes the place of these orders. It is the shortest of theirs, as a lease may end
     * before the owner assumes but not after. A request that does nothing else may be kept back.
     */
    OrdersRequest buildRequest(EntryId owner, long token, List<Order> batch) {
        String known = mLastReport == null ? null : ReportVersion.of(mLastReport).toString();
        Set<TaskKey> renewed = new HashSet<>();
        List<Order> others = new ArrayList<>();
        long lease = Long.MAX_VALUE;
        for (Order order : batch) {
            if (order.kind() == OrderKind.RENEW) {
                renewed.add(new TaskKey(order.job(), order.member(), order.attempt()));
                lease = Math.min(lease, order.leaseMs());
            } else {
                others.add(order);
            }
        }
        boolean all = !renewed.isEmpty() && renewed.equals(runningTasks()) && !mRenewIndividually;
        mRenewIndividually = false;
        if (!all) {
            return new OrdersRequest(owner, token, batch, known, 0, 0);
        }
        boolean waits = others.isEmpty() && !mRenewalInFlight && !mLongPollUnsupported;
        return new OrdersRequest(
                owner, token, others, known, lease, waits ? RENEWAL_POLL_WAIT_MS : 0);
    }

    /** Makes the renewals of a batch wait again, to be sent one by one. */
    void renewIndividually(List<Order> batch) {
        mRenewIndividually = true;
        batch.stream()
                .filter(order -> order.kind() == OrderKind.RENEW)
                .forEach(mPendingOrders::add);
    }

    void endBatch() {
        mBatchInFlight = false;
    }

    /** Marks the batch on its way as a renewal that the worker keeps back. */
    void beginRenewal() {
        mBatchInFlight = false;
        mRenewalInFlight = true;
    }

    /**
     * Ends a renewal that was kept back.
     *
     * @param unchanged whether it ended with the wait, so that the next one is due soon
     */
    void endRenewal(boolean unchanged, long now) {
        mRenewalInFlight = false;
        mNextPollAtMs = unchanged ? now + NEXT_RENEWAL_GRACE_MS : Long.MIN_VALUE;
    }

    /** Records that the worker's software does not keep renewals back. */
    void disableRenewalLongPoll() {
        mLongPollUnsupported = true;
    }

    /** Records that a call for a report failed; the next one then does not wait. */
    void onReportFailed() {
        mLastReportFailed = true;
    }

    /** Drops what waits and what is known, as at the end of an ownership. */
    void reset() {
        mPendingOrders.clear();
        mLastReport = null;
        mRenewIndividually = false;
        mLongPollUnsupported = false;
        mNextPollAtMs = Long.MIN_VALUE;
    }

    /** Marks a report call as outstanding; returns false if none is needed now. */
    boolean beginPoll(long now) {
        if (mPollInFlight || mRenewalInFlight || now < mNextPollAtMs) {
            return false;
        }
        mPollInFlight = true;
        return true;
    }

    /** Returns how long the worker may wait for a change of its report. */
    long takeReportWaitMs() {
        if (mLastReportFailed) {
            mLastReportFailed = false;
            return 0;
        }
        return hasTasks() ? ACTIVE_REPORT_WAIT_MS : IDLE_REPORT_WAIT_MS;
    }

    void endPoll() {
        mPollInFlight = false;
    }

    /** Returns whether the worker's last report has tasks. */
    boolean hasTasks() {
        return mLastReport != null && !mLastReport.tasks().isEmpty();
    }

    /** Returns the version of the report that the placement core was given last. */
    Optional<ReportVersion> knownVersion() {
        return Optional.ofNullable(mLastReport).map(ReportVersion::of);
    }

    /**
     * Returns the report kept, if it has this version; a worker that says that a version is
     * unchanged says nothing about a later one.
     */
    Optional<WorkerReport> reportIfVersion(Optional<ReportVersion> version) {
        return version.isPresent() && version.equals(knownVersion())
                ? Optional.of(mLastReport)
                : Optional.empty();
    }

    /** Keeps a report; returns false if a newer one was seen before. */
    boolean acceptReport(WorkerReport report) {
        boolean old =
                report.incarnation() == mIncarnation
                        ? report.sequence() < mSequence
                        : report.incarnation() < mIncarnation;
        if (!old) {
            // A restarted worker may have been updated.
            mLongPollUnsupported &= report.incarnation() == mIncarnation;
            mIncarnation = report.incarnation();
            mSequence = report.sequence();
            mLastReport = report;
        }
        return !old;
    }

    private Set<TaskKey> runningTasks() {
        Set<TaskKey> running = new HashSet<>();
        if (mLastReport != null) {
            for (TaskReport task : mLastReport.tasks()) {
                if (task.state() == TaskState.RUNNING) {
                    running.add(new TaskKey(task.job(), task.member(), task.attempt()));
                }
            }
        }
        return running;
    }

    private record TaskKey(JobId job, int member, int attempt) {}
}
