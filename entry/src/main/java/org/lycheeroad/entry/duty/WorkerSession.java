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
 * The pending orders and the last report of one worker.
 *
 * <p>At most one batch is in flight at a time, so that a worker receives orders in the order in
 * which they were decided. An order that is already pending is not added again. Long-poll renewals,
 * whose response the worker delays, do not count as batches in flight: they are bound to a version
 * of the report, so that the worker rejects them if other orders overtake them.
 */
final class WorkerSession {
    /**
     * How long a worker may delay its response to a renewal.
     *
     * <p>The next renewal follows after 2 s, plus or minus a tick, so the response arrives before
     * it.
     */
    static final long RENEWAL_RESPONSE_WAIT_MS = 1_700;

    /** The time after a long-poll renewal in which the next one is due, including three ticks. */
    private static final long NEXT_RENEWAL_GRACE_MS = 600;

    /** Used while tasks are not being renewed, such as those of a starting gang. */
    private static final long ACTIVE_REPORT_WAIT_MS = 1_000;

    /** The core considers a worker without tasks unresponsive only 4 s after its last report. */
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
    private long mLastIncarnation;
    private long mLastSequence;
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

    /** Adds an order; returns false if too many are pending. */
    boolean addOrder(Order order, int maxPending) {
        if (mPendingOrders.size() >= maxPending && !mPendingOrders.contains(order)) {
            return false;
        }
        mPendingOrders.add(order);
        return true;
    }

    /** Takes the next batch; empty if one is in flight or there is nothing to send. */
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
     * Builds the request for a batch.
     *
     * <p>If the batch renews exactly the tasks that the worker reports as running, one lease for
     * all tasks replaces the renewal orders. It is the shortest of their leases, because a lease
     * may end before the owner assumes but not after. The worker may delay its response to a
     * request that only renews (long poll).
     */
    OrdersRequest buildRequest(EntryId owner, long token, List<Order> batch) {
        String knownVersion = mLastReport == null ? null : ReportVersion.of(mLastReport).toString();
        Set<TaskKey> renewedTasks = new HashSet<>();
        List<Order> otherOrders = new ArrayList<>();
        long leaseMs = Long.MAX_VALUE;
        for (Order order : batch) {
            if (order.kind() == OrderKind.RENEW) {
                renewedTasks.add(new TaskKey(order.job(), order.member(), order.attempt()));
                leaseMs = Math.min(leaseMs, order.leaseMs());
            } else {
                otherOrders.add(order);
            }
        }
        boolean renewsAllTasks =
                !renewedTasks.isEmpty()
                        && renewedTasks.equals(runningTasks())
                        && !mRenewIndividually;
        mRenewIndividually = false;
        if (!renewsAllTasks) {
            return new OrdersRequest(owner, token, batch, knownVersion, 0, 0);
        }
        boolean longPoll = otherOrders.isEmpty() && !mRenewalInFlight && !mLongPollUnsupported;
        return new OrdersRequest(
                owner,
                token,
                otherOrders,
                knownVersion,
                leaseMs,
                longPoll ? RENEWAL_RESPONSE_WAIT_MS : 0);
    }

    /** Re-adds the renewals of a batch, to be sent as individual orders. */
    void renewIndividually(List<Order> batch) {
        mRenewIndividually = true;
        batch.stream()
                .filter(order -> order.kind() == OrderKind.RENEW)
                .forEach(mPendingOrders::add);
    }

    void endBatch() {
        mBatchInFlight = false;
    }

    /** Marks the batch in flight as a long-poll renewal. */
    void beginRenewal() {
        mBatchInFlight = false;
        mRenewalInFlight = true;
    }

    /**
     * Ends a long-poll renewal.
     *
     * @param unchanged whether the report was unchanged at the end of the wait, so that the next
     *     renewal is due soon
     */
    void endRenewal(boolean unchanged, long nowMs) {
        mRenewalInFlight = false;
        mNextPollAtMs = unchanged ? nowMs + NEXT_RENEWAL_GRACE_MS : Long.MIN_VALUE;
    }

    /** Records that the worker's software does not support long-poll renewals. */
    void disableRenewalLongPoll() {
        mLongPollUnsupported = true;
    }

    /** Records that a report request failed, so that the next one does not wait for a change. */
    void onReportFailed() {
        mLastReportFailed = true;
    }

    /** Drops the pending orders and the report, as at the end of an ownership. */
    void reset() {
        mPendingOrders.clear();
        mLastReport = null;
        mRenewIndividually = false;
        mLongPollUnsupported = false;
        mNextPollAtMs = Long.MIN_VALUE;
    }

    /** Marks a report request as in flight; returns false if none is needed now. */
    boolean beginPoll(long nowMs) {
        if (mPollInFlight || mRenewalInFlight || nowMs < mNextPollAtMs) {
            return false;
        }
        mPollInFlight = true;
        return true;
    }

    /** Returns how long the worker may wait for a change of its report, and clears a failure. */
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

    /** Returns the version of the report last passed to the placement core. */
    Optional<ReportVersion> knownVersion() {
        return Optional.ofNullable(mLastReport).map(ReportVersion::of);
    }

    /**
     * Returns the last report if it has this version.
     *
     * <p>A response that a version is unchanged does not confirm a later version.
     */
    Optional<WorkerReport> reportIfVersion(Optional<ReportVersion> version) {
        return version.isPresent() && version.equals(knownVersion())
                ? Optional.of(mLastReport)
                : Optional.empty();
    }

    /** Stores a report; returns false if a newer one was received before. */
    boolean acceptReport(WorkerReport report) {
        boolean outdated =
                report.incarnation() == mLastIncarnation
                        ? report.sequence() < mLastSequence
                        : report.incarnation() < mLastIncarnation;
        if (!outdated) {
            // A restarted worker may run a newer version that supports long-poll renewals.
            mLongPollUnsupported &= report.incarnation() == mLastIncarnation;
            mLastIncarnation = report.incarnation();
            mLastSequence = report.sequence();
            mLastReport = report;
        }
        return !outdated;
    }

    private Set<TaskKey> runningTasks() {
        Set<TaskKey> runningKeys = new HashSet<>();
        if (mLastReport != null) {
            for (TaskReport task : mLastReport.tasks()) {
                if (task.state() == TaskState.RUNNING) {
                    runningKeys.add(new TaskKey(task.job(), task.member(), task.attempt()));
                }
            }
        }
        return runningKeys;
    }

    private record TaskKey(JobId job, int member, int attempt) {}
}
