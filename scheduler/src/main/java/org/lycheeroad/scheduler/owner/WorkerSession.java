package org.lycheeroad.scheduler.owner;

import java.util.OptionalLong;
import org.lycheeroad.coordination.jobs.JobAction;
import org.lycheeroad.coordination.jobs.JobScheduler;
import org.lycheeroad.coordination.jobs.OrderAnswer;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.WorkerGateway;
import org.lycheeroad.scheduler.port.WorkerGateway.PollReply;
import org.lycheeroad.scheduler.port.WorkerGateway.WorkerEndpoint;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerStatus;

/**
 * The owner's communication with one worker: polls, which also extend the worker's lease, and
 * orders to start, stop and throttle runs.
 *
 * <p>All methods run on the owner's executor.
 */
final class WorkerSession {
    /** How long a worker with runs waits for a run to end before it replies to a poll. */
    private static final long POLL_WAIT_MS = 1_000;

    /** The same for a worker with interfering tasks; workers measure usage over half a second. */
    private static final long INTERFERENCE_POLL_WAIT_MS = 300;

    /** The least time between two polls; limits their rate if the worker replies immediately. */
    private static final long MIN_POLL_INTERVAL_MS = 150;

    private static final long RETRY_INTERVAL_MS = 250;

    /** Polls of a worker with runs follow each other within a second; its restart takes longer. */
    private static final long RECENT_RESPONSE_MS = 1_500;

    /** How long no lease was granted to a worker that counts as silent; one poll may be lost. */
    private static final long MIN_SILENCE_MS = 1_500;

    /** For an unreachable worker without runs; about as long as between updates of its entry. */
    private static final long IDLE_RETRY_INTERVAL_MS = 1_500;

    /** The monotonic clocks of workers may be up to 2% slow. */
    private static final double MAX_CLOCK_SLOWNESS = 0.02;

    /**
     * How long the lease on a draining worker lasts beyond its earliest departure; long enough for
     * some polls. It is shorter than usual because the worker does not report when it has left, and
     * its tasks can be started elsewhere only after the lease has expired.
     */
    private static final long DRAINING_LEASE_MS = 2_500;

    /**
     * Covers the rounding of clocks, and that a lease on a clock that is 2% slow lasts for slightly
     * more than 2% longer. The latency of orders needs no margin: they carry the end of the lease.
     */
    private static final long LEASE_EXPIRY_MARGIN_MS = 400;

    private final WorkerGateway mGateway;
    private final SerialExecutor mExecutor;
    private final JobScheduler mScheduler;
    private final Term mTerm;
    private final NodeSettings mSettings;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final NodeMetrics mMetrics;
    private final SilentWorkerRecorder mSilentWorkers;
    private final Runnable mOnFenced;

    private WorkerStatus mEntry;

    /** The earliest time at which a draining worker leaves; MAX_VALUE if it does not drain. */
    private long mLeavesAtMs;

    private boolean mStopped;
    private boolean mPollInFlight;
    private boolean mUnreachable;

    /** Whether an event says that the leases have expired since the worker last replied. */
    private boolean mLapseRecorded;

    /** Whether the last recorded event about the worker's speed says that it is slow. */
    private boolean mSlow;

    private long mLastResponseAtMs = Long.MIN_VALUE / 2;

    /** Whether the last poll listed ended runs, which the next poll has to acknowledge. */
    private boolean mHasUnacknowledgedEnds;

    private long mNextPollAtMs;
    private boolean mWakeUpScheduled;

    /** The worker's clock minus the clock of this VM; too low by the latency of the reply. */
    private long mWorkerClockOffsetMs;

    private boolean mWorkerClockKnown;

    /** The start time of the worker incarnation whose clock was read last; 0 before a reply. */
    private long mClockIncarnationMs;

    /** When a reply last showed the worker's clock. */
    private long mWorkerClockReadAtMs;

    /** The latest expiry of a granted lease, on the worker's clock; 0 if none was granted. */
    private long mLeaseUntilOnWorkerMs;

    /** The start time of the worker incarnation that replied last; 0 before a reply. */
    private long mRepliedIncarnationMs;

    /** The highest number of an ended run logged for the incarnation below. */
    private long mLastLoggedEndNumber;

    /** The start time of the worker incarnation whose ended runs were logged last. */
    private long mLoggedIncarnationBornMs;

    /** The time after which all leases that may have been granted have expired. */
    private long mLeasesExpiredAtMs;

    WorkerSession(
            WorkerStatus entry,
            WorkerGateway gateway,
            SerialExecutor executor,
            JobScheduler scheduler,
            Term term,
            NodeSettings settings,
            Clock clock,
            EventRecorder events,
            NodeMetrics metrics,
            SilentWorkerRecorder silentWorkers,
            Runnable onFenced) {
        mEntry = entry;
        mGateway = gateway;
        mExecutor = executor;
        mScheduler = scheduler;
        mTerm = term;
        mSettings = settings;
        mClock = clock;
        mEvents = events;
        mMetrics = metrics;
        mSilentWorkers = silentWorkers;
        mOnFenced = onFenced;
        mLeavesAtMs = earliestDepartureMs(entry);
        // An earlier owner may have extended the lease until the end of its term, however late in
        // this term the worker's entry comes.
        mLeasesExpiredAtMs =
                silentWorkers.earlierLeasesExpiredAtMs(
                        entry.id(),
                        latestLeaseExpiryMs(term.beganAtMs(), settings.maxWorkerLeaseMs()));
    }

    WorkerId id() {
        return mEntry.id();
    }

    void update(WorkerStatus entry) {
        if (entry.incarnationStartMs() < mEntry.incarnationStartMs()
                && entry.incarnationStartMs() != mRepliedIncarnationMs) {
            // Written by an earlier incarnation, unless a worker whose time of day was set back has
            // replied as this one.
            return;
        }
        if (entry.incarnationStartMs() != mEntry.incarnationStartMs()) {
            // The entry may come after the first reply, which has shown the clock already.
            mWorkerClockKnown = entry.incarnationStartMs() == mClockIncarnationMs;
            mLeaseUntilOnWorkerMs = 0;
        }
        // A repeated read returns the same entry again, whose remaining time has partly passed.
        if (!entry.equals(mEntry)) {
            mLeavesAtMs = earliestDepartureMs(entry);
        }
        mEntry = entry;
    }

    private long earliestDepartureMs(WorkerStatus entry) {
        return entry.draining() ? mClock.monotonicMs() + entry.remainingMs() : Long.MAX_VALUE;
    }

    void stop() {
        mStopped = true;
    }

    /** Polls the worker if a poll is due; called after each change. */
    void pollIfDue() {
        long nowMs = mClock.monotonicMs();
        if (mStopped
                || mPollInFlight
                || !(mHasUnacknowledgedEnds || mScheduler.needsPoll(mEntry.id()))) {
            return;
        }
        if (nowMs < mNextPollAtMs) {
            scheduleWakeUp(mNextPollAtMs - nowMs);
            return;
        }
        if (!mTerm.isLeaseValid()) {
            scheduleWakeUp(RETRY_INTERVAL_MS);
            return;
        }
        poll(nowMs);
    }

    /** Notifies the scheduler if the worker is unreachable and all its leases have expired. */
    void checkLeaseExpiry() {
        long nowMs = mClock.monotonicMs();
        if (mUnreachable && nowMs > mLeasesExpiredAtMs && mScheduler.mayHaveRuns(mEntry.id())) {
            recordLapse(nowMs);
            mScheduler.onLeaseExpired(mEntry.id(), nowMs);
        }
    }

    /**
     * Returns when all leases have ended if the worker may have runs and no lease was granted for
     * some time, because it does not answer.
     */
    OptionalLong silentUntilMs() {
        boolean listedAndNotHeard =
                !mWorkerClockKnown && !mSilentWorkers.mayGrantLease(mEntry.id());
        boolean silent = mUnreachable || listedAndNotHeard;
        long longestMs = latestLeaseExpiryMs(mClock.monotonicMs(), mSettings.maxWorkerLeaseMs());
        return silent
                        && longestMs - mLeasesExpiredAtMs > MIN_SILENCE_MS
                        && mScheduler.mayHaveRuns(mEntry.id())
                ? OptionalLong.of(mLeasesExpiredAtMs)
                : OptionalLong.empty();
    }

    /** Records the expiry of the leases once, as runs may outlast them on a restarted worker. */
    private void recordLapse(long nowMs) {
        if (!mLapseRecorded) {
            mLapseRecorded = true;
            mEvents.record(
                    EventCode.WORKER_LAPSED,
                    "",
                    "worker="
                            + mEntry.id()
                            + " born="
                            + mEntry.incarnationStartMs()
                            + " clock_age_ms="
                            + (mWorkerClockKnown ? nowMs - mWorkerClockReadAtMs : -1));
        }
    }

    void start(JobAction.Start start) {
        // Read before the term is checked: a lease that counts from a time after the end of the
        // term could outlast the time that the next owner waits for.
        long sentAtMs = mClock.monotonicMs();
        if (!mTerm.isLeaseValid()
                || start.workerIncarnation() != mEntry.incarnationStartMs()
                || !mWorkerClockKnown
                || !mSilentWorkers.mayGrantLease(mEntry.id())) {
            // No order is sent; on EXPIRED the scheduler tries the run again.
            mScheduler.onStartAnswer(
                    mEntry.id(), start.run(), OrderAnswer.EXPIRED, mClock.monotonicMs());
            return;
        }
        mLeasesExpiredAtMs = Math.max(mLeasesExpiredAtMs, latestLeaseExpiryMs(sentAtMs));
        mScheduler.onStartSent(mEntry.id(), start.run(), sentAtMs);
        mEvents.record(
                EventCode.ORDER_SENT,
                start.run().task().job().value(),
                "order=start run="
                        + start.run()
                        + " worker="
                        + mEntry.id()
                        + " epoch="
                        + mTerm.epoch()
                        + " clock_age_ms="
                        + (sentAtMs - mWorkerClockReadAtMs));
        mExecutor.whenComplete(
                mGateway.start(
                        endpoint(),
                        start.run(),
                        start.spec(),
                        start.checkpoint(),
                        start.ticket(),
                        leaseExpiryOnWorkerClockMs(sentAtMs)),
                (reply, e) -> {
                    OrderAnswer answer = onOrderReply(reply, "start", start.run().toString());
                    mMetrics.recordOrderLatency(mClock.monotonicMs() - sentAtMs);
                    if (!mStopped) {
                        mScheduler.onStartAnswer(
                                mEntry.id(), start.run(), answer, mClock.monotonicMs());
                    }
                });
    }

    void stop(JobAction.Stop stop) {
        if (!mTerm.isLeaseValid()) {
            return;
        }
        mEvents.record(
                EventCode.ORDER_SENT,
                stop.run().task().job().value(),
                "order=stop run="
                        + stop.run()
                        + " worker="
                        + mEntry.id()
                        + " reason="
                        + stop.reason());
        long incarnationMs = mRepliedIncarnationMs;
        mExecutor.whenComplete(
                mGateway.stop(endpoint(), stop.run()),
                (reply, e) -> {
                    OrderAnswer answer = onOrderReply(reply, "stop", stop.run().toString());
                    if (answer == OrderAnswer.ACCEPTED && incarnationMs != mRepliedIncarnationMs) {
                        // The earlier incarnation may have confirmed it; the new one may not know.
                        answer = OrderAnswer.UNKNOWN;
                    }
                    if (!mStopped) {
                        mScheduler.onStopAnswer(
                                mEntry.id(), stop.run(), answer, mClock.monotonicMs());
                    }
                });
    }

    void throttle(JobAction.Throttle order) {
        if (mTerm.isLeaseValid()) {
            mExecutor.whenComplete(
                    mGateway.throttle(endpoint(), order.run(), order.percent()),
                    (reply, e) -> {
                        OrderAnswer answer =
                                onOrderReply(reply, "throttle", order.run().toString());
                        if (!mStopped && answer == OrderAnswer.ACCEPTED) {
                            mScheduler.onThrottleConfirmed(
                                    mEntry.id(), order.run(), order.percent());
                        }
                    });
        }
    }

    private void poll(long nowMs) {
        boolean hasRuns = mScheduler.mayHaveRuns(mEntry.id());
        // The lease of an unreachable worker is not extended, so that its runs can start elsewhere.
        boolean extendLease =
                hasRuns
                        && mWorkerClockKnown
                        && !mUnreachable
                        && mSilentWorkers.mayGrantLease(mEntry.id());
        if (extendLease) {
            mLeasesExpiredAtMs = Math.max(mLeasesExpiredAtMs, latestLeaseExpiryMs(nowMs));
        }
        long waitMs =
                mScheduler.hasServingAndBestEffortRuns(mEntry.id())
                        ? INTERFERENCE_POLL_WAIT_MS
                        : POLL_WAIT_MS;
        // The reply of a worker that was idle must show its clock soon, since leases that are
        // computed from an old reading are short.
        boolean mayWait = extendLease && nowMs - mWorkerClockReadAtMs < RECENT_RESPONSE_MS;
        mPollInFlight = true;
        WorkerStatus polledEntry = mEntry;
        mMetrics.countWorkerPoll();
        long acknowledgedEnd = acknowledgedEndNumber(nowMs);
        boolean hasEffect = extendLease || acknowledgedEnd > 0;
        mExecutor.whenComplete(
                mGateway.poll(
                        endpoint(),
                        acknowledgedEnd,
                        extendLease ? leaseExpiryOnWorkerClockMs(nowMs) : 0,
                        mayWait ? waitMs : 0),
                (reply, e) -> {
                    if (hasEffect && (reply == null || reply.answer() == OrderAnswer.UNKNOWN)) {
                        mScheduler.onUnansweredCall(mEntry.id(), nowMs);
                    }
                    onPollReply(reply, nowMs, polledEntry);
                });
    }

    /**
     * Returns the number up to which the worker may forget its ended runs.
     *
     * <p>A worker that has not replied recently may have restarted, and then numbers its ended runs
     * from 1 again. It must not forget any of them before it has listed them.
     */
    private long acknowledgedEndNumber(long nowMs) {
        boolean recent = !mUnreachable && nowMs - mLastResponseAtMs < RECENT_RESPONSE_MS;
        return recent ? mScheduler.acknowledgedEnd(mEntry.id()) : 0;
    }

    private void onPollReply(PollReply reply, long polledAtMs, WorkerStatus polledEntry) {
        mPollInFlight = false;
        if (mStopped) {
            return;
        }
        long nowMs = mClock.monotonicMs();
        boolean isPresentIncarnation =
                polledEntry.incarnationStartMs() == mEntry.incarnationStartMs();
        OrderAnswer answer = reply == null ? OrderAnswer.UNKNOWN : reply.answer();
        if (answer == OrderAnswer.ACCEPTED) {
            if (mUnreachable) {
                recordHeard(reply.runs(), nowMs);
            }
            mRepliedIncarnationMs = reply.runs().incarnationStartMs();
            mUnreachable = false;
            mLapseRecorded = false;
            mLastResponseAtMs = nowMs;
            mHasUnacknowledgedEnds = !reply.runs().endedRuns().isEmpty();
            if (isPresentIncarnation) {
                mWorkerClockOffsetMs = reply.runs().clockMs() - nowMs;
                mWorkerClockKnown = true;
                mClockIncarnationMs = reply.runs().incarnationStartMs();
                mWorkerClockReadAtMs = nowMs;
            }
            logEndedRuns(reply.runs());
            mScheduler.onRunReport(mEntry.id(), reply.runs(), polledAtMs, nowMs);
            if (!mSilentWorkers.mayGrantLease(mEntry.id())) {
                // No start is sent until the record no longer lists the worker.
                mScheduler.onWorkerUnresponsive(mEntry.id());
            }
            recordSpeedChange();
            mNextPollAtMs = Math.max(nowMs, polledAtMs + MIN_POLL_INTERVAL_MS);
        } else if (answer == OrderAnswer.FENCED) {
            mOnFenced.run();
        } else {
            if (answer == OrderAnswer.REPLACED
                    && isPresentIncarnation
                    && polledEntry.address().equals(mEntry.address())) {
                mScheduler.onWorkerReplaced(mEntry.id(), nowMs);
            }
            onNoResponse(answer, nowMs);
        }
        pollIfDue();
    }

    /** Records the worker's clock beside the owner's, which shows whether a lease lasted longer. */
    private void recordHeard(WorkerRuns runs, long nowMs) {
        boolean sameIncarnation = runs.incarnationStartMs() == mRepliedIncarnationMs;
        mEvents.record(
                EventCode.WORKER_HEARD,
                "",
                "worker="
                        + mEntry.id()
                        + " born="
                        + runs.incarnationStartMs()
                        + " restarted="
                        + (mRepliedIncarnationMs != 0 && !sameIncarnation)
                        + " expired_ms_ago="
                        + (nowMs - mLeasesExpiredAtMs)
                        + " lease_over_ms="
                        + (sameIncarnation ? runs.clockMs() - mLeaseUntilOnWorkerMs : 0)
                        + " clock_age_ms="
                        + (sameIncarnation ? nowMs - mWorkerClockReadAtMs : 0)
                        + " clock_drift_ms="
                        + (sameIncarnation ? runs.clockMs() - nowMs - mWorkerClockOffsetMs : 0));
    }

    private void recordSpeedChange() {
        boolean slow = mScheduler.isSlow(mEntry.id());
        if (slow != mSlow) {
            mSlow = slow;
            mEvents.record(
                    slow ? EventCode.WORKER_SLOW : EventCode.WORKER_NOT_SLOW,
                    "",
                    "worker=" + mEntry.id());
        }
    }

    private void logEndedRuns(WorkerRuns runs) {
        if (runs.incarnationStartMs() != mLoggedIncarnationBornMs) {
            mLoggedIncarnationBornMs = runs.incarnationStartMs();
            mLastLoggedEndNumber = 0;
        }
        for (WorkerRuns.EndedRun end : runs.endedRuns()) {
            if (end.sequence() > mLastLoggedEndNumber) {
                mLastLoggedEndNumber = end.sequence();
                mEvents.record(
                        EventCode.RUN_ENDED,
                        end.run().task().job().value(),
                        "run=" + end.run() + " worker=" + mEntry.id() + " how=" + end.outcome());
            }
        }
    }

    private void onNoResponse(OrderAnswer answer, long nowMs) {
        if (!mUnreachable) {
            mUnreachable = true;
            mEvents.record(
                    EventCode.WORKER_UNREACHABLE,
                    "",
                    "worker=" + mEntry.id() + " answer=" + answer);
        }
        mScheduler.onWorkerUnresponsive(mEntry.id());
        mNextPollAtMs =
                nowMs
                        + (mScheduler.mayHaveRuns(mEntry.id())
                                ? RETRY_INTERVAL_MS
                                : IDLE_RETRY_INTERVAL_MS);
    }

    private OrderAnswer onOrderReply(OrderAnswer reply, String order, String run) {
        OrderAnswer answer = reply == null ? OrderAnswer.UNKNOWN : reply;
        if (answer == OrderAnswer.FENCED) {
            mOnFenced.run();
        }
        if (answer != OrderAnswer.ACCEPTED) {
            mEvents.record(
                    EventCode.ORDER_REFUSED,
                    "",
                    "order="
                            + order
                            + " run="
                            + run
                            + " worker="
                            + mEntry.id()
                            + " answer="
                            + answer);
        }
        return answer;
    }

    private WorkerEndpoint endpoint() {
        return new WorkerEndpoint(mEntry.id(), mEntry.address(), mTerm.epoch());
    }

    /**
     * Returns the end of a lease granted now, on the worker's clock.
     *
     * <p>The clock may have fallen behind since it was read. The end is earlier by the most that it
     * may have, so that the lease has expired by {@link #latestLeaseExpiryMs(long)}.
     */
    private long leaseExpiryOnWorkerClockMs(long nowMs) {
        long maxLagMs = (long) Math.ceil((nowMs - mWorkerClockReadAtMs) * MAX_CLOCK_SLOWNESS);
        long expiryMs = nowMs + mWorkerClockOffsetMs - maxLagMs + leaseMs();
        mLeaseUntilOnWorkerMs = Math.max(mLeaseUntilOnWorkerMs, expiryMs);
        return expiryMs;
    }

    /** Returns the latest expiry of a lease granted now; one granted earlier may last longer. */
    private long latestLeaseExpiryMs(long nowMs) {
        return latestLeaseExpiryMs(nowMs, leaseMs());
    }

    private long leaseMs() {
        long maxLeaseMs = mSettings.maxWorkerLeaseMs();
        if (!mEntry.draining()) {
            return maxLeaseMs;
        }
        long staysMs = Math.max(0, mLeavesAtMs - mClock.monotonicMs());
        return Math.min(maxLeaseMs, staysMs + DRAINING_LEASE_MS);
    }

    private void scheduleWakeUp(long delayMs) {
        if (!mWakeUpScheduled) {
            mWakeUpScheduled = true;
            mExecutor.schedule(
                    delayMs,
                    () -> {
                        mWakeUpScheduled = false;
                        pollIfDue();
                    });
        }
    }

    /** Returns when a lease granted now has expired even if the worker's clock is slow. */
    static long latestLeaseExpiryMs(long nowMs, long leaseMs) {
        return nowMs + Math.round(leaseMs * (1 + MAX_CLOCK_SLOWNESS)) + LEASE_EXPIRY_MARGIN_MS;
    }
}
