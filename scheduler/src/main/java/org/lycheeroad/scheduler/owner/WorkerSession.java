package org.lycheeroad.scheduler.owner;

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
import org.lycheeroad.state.work.WorkerEntry;
import org.lycheeroad.state.work.WorkerRuns;

/**
 * The owner's dealings with one worker: looks that extend its lease, starts and stops.
 *
 * <p>All methods run on the owner's strand.
 */
final class WorkerSession {
    /** How long a busy worker waits for an end before it answers a look. */
    private static final long POLL_WAIT_MS = 1_000;

    /** The same for a worker whose tasks disturb each other: workers measure over half a second. */
    private static final long INTERFERENCE_POLL_WAIT_MS = 300;

    /** The least time between two looks that find nothing new. */
    private static final long MIN_POLL_INTERVAL_MS = 150;

    private static final long RETRY_INTERVAL_MS = 250;

    /** Looks at a busy worker follow each other within a second; restarts take longer. */
    private static final long RECENT_RESPONSE_MS = 1_500;

    /** Looks at a silent worker without runs are as rare as its own entries. */
    private static final long IDLE_RETRY_INTERVAL_MS = 1_500;

    /** The steady clocks of workers may be 2% slow. */
    private static final double MAX_CLOCK_SLOWNESS_FACTOR = 1.02;

    /**
     * The lease on a worker that is about to leave: some looks. Its tasks can start elsewhere once
     * the lease has ended, and it does not say when it has gone.
     */
    private static final long DRAINING_LEASE_MS = 2_500;

    /** Covers the way to the worker and the rounding of clocks. */
    private static final long LEASE_EXPIRY_MARGIN_MS = 400;

    private final WorkerGateway mGateway;
    private final SerialExecutor mExecutor;
    private final JobScheduler mScheduler;
    private final Term mTerm;
    private final NodeSettings mSettings;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final NodeMetrics mMetrics;
    private final Runnable mOnFenced;

    private WorkerEntry mEntry;
    private boolean mStopped;
    private boolean mPollInFlight;
    private boolean mUnreachable;
    private long mLastResponseAtMs = Long.MIN_VALUE / 2;

    /** Whether the worker still lists ends, and so has to hear up to which it may forget them. */
    private boolean mHasUnacknowledgedEnds;

    private long mNextPollAtMs;
    private boolean mWakeUpScheduled;

    /** The worker's clock less the own one; the way to the worker makes it a little low. */
    private long mWorkerClockOffsetMs;

    private boolean mWorkerClockKnown;

    /** The newest end that was logged, and the incarnation that numbered it. */
    private long mLastLoggedEndNumber;

    private long mLoggedIncarnationBornMs;

    /** When all leases that may have been granted have certainly ended. */
    private long mLeasesExpiredAtMs;

    WorkerSession(
            WorkerEntry entry,
            WorkerGateway gateway,
            SerialExecutor strand,
            JobScheduler scheduler,
            Term term,
            NodeSettings settings,
            Clock clock,
            EventRecorder events,
            NodeMetrics metrics,
            Runnable onFenced) {
        mEntry = entry;
        mGateway = gateway;
        mExecutor = strand;
        mScheduler = scheduler;
        mTerm = term;
        mSettings = settings;
        mClock = clock;
        mEvents = events;
        mMetrics = metrics;
        mOnFenced = onFenced;
        // An earlier owner may have extended the lease until its own term ended.
        mLeasesExpiredAtMs = latestLeaseExpiryMs(clock.monotonicMs(), settings.maxWorkerLeaseMs());
    }

    WorkerId id() {
        return mEntry.id();
    }

    void update(WorkerEntry entry) {
        if (entry.bornMs() != mEntry.bornMs()) {
            mWorkerClockKnown = false;
        }
        mEntry = entry;
    }

    void stop() {
        mStopped = true;
    }

    /** Starts a look when one is due; called after each change. */
    void pollIfDue() {
        long now = mClock.monotonicMs();
        if (mStopped
                || mPollInFlight
                || !(mHasUnacknowledgedEnds || mScheduler.needsLook(mEntry.id()))) {
            return;
        }
        if (now < mNextPollAtMs) {
            scheduleWakeUp(mNextPollAtMs - now);
            return;
        }
        if (!mTerm.isLeaseValid()) {
            scheduleWakeUp(RETRY_INTERVAL_MS);
            return;
        }
        poll(now);
    }

    /** Tells the scheduler once all leases have certainly ended. */
    void checkLeaseExpiry() {
        long now = mClock.monotonicMs();
        if (mUnreachable && now > mLeasesExpiredAtMs && mScheduler.hasRuns(mEntry.id())) {
            mEvents.record(EventCode.WORKER_LAPSED, "", "worker=" + mEntry.id());
            mScheduler.onLeaseLapsed(mEntry.id(), now);
        }
    }

    void start(JobAction.Start start) {
        if (!mTerm.isLeaseValid() || start.bornMs() != mEntry.bornMs() || !mWorkerClockKnown) {
            // Nothing was sent; the run is tried anew.
            mScheduler.onStartAnswer(
                    mEntry.id(), start.run(), OrderAnswer.EXPIRED, mClock.monotonicMs());
            return;
        }
        long sent = mClock.monotonicMs();
        mLeasesExpiredAtMs = Math.max(mLeasesExpiredAtMs, latestLeaseExpiryMs(sent));
        mEvents.record(
                EventCode.ORDER_SENT,
                start.run().task().job().value(),
                "order=start run="
                        + start.run()
                        + " worker="
                        + mEntry.id()
                        + " epoch="
                        + mTerm.epoch());
        mExecutor.whenComplete(
                mGateway.start(
                        endpoint(),
                        start.run(),
                        start.spec(),
                        start.checkpoint(),
                        start.ticket(),
                        leaseExpiryOnWorkerClockMs(sent)),
                (reply, e) -> {
                    OrderAnswer answer = onOrderReply(reply, "start", start.run().toString());
                    mMetrics.recordOrderLatency(mClock.monotonicMs() - sent);
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
        mExecutor.whenComplete(
                mGateway.stop(endpoint(), stop.run()),
                (reply, e) -> {
                    OrderAnswer answer = onOrderReply(reply, "stop", stop.run().toString());
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
                            mScheduler.onThrottled(mEntry.id(), order.run(), order.percent());
                        }
                    });
        }
    }

    private void poll(long now) {
        boolean busy = mScheduler.hasRuns(mEntry.id());
        // A silent worker's lease is left to end, so that its runs can start elsewhere.
        boolean extend = busy && mWorkerClockKnown && !mUnreachable;
        if (extend) {
            mLeasesExpiredAtMs = Math.max(mLeasesExpiredAtMs, latestLeaseExpiryMs(now));
        }
        long waitMs =
                mScheduler.hasDisturbance(mEntry.id()) ? INTERFERENCE_POLL_WAIT_MS : POLL_WAIT_MS;
        mPollInFlight = true;
        long bornMs = mEntry.bornMs();
        mMetrics.countWorkerPoll();
        mExecutor.whenComplete(
                mGateway.poll(
                        endpoint(),
                        acknowledgedEndNumber(now),
                        extend ? leaseExpiryOnWorkerClockMs(now) : 0,
                        extend ? waitMs : 0),
                (reply, e) -> onPollReply(reply, now, bornMs));
    }

    /**
     * Returns up to which number the worker may forget its ends.
     *
     * <p>A worker that has not answered lately may have been replaced by an incarnation that counts
     * its ends anew, and must not forget any before they are listed.
     */
    private long acknowledgedEndNumber(long now) {
        boolean recent = !mUnreachable && now - mLastResponseAtMs < RECENT_RESPONSE_MS;
        return recent ? mScheduler.observed(mEntry.id()) : 0;
    }

    private void onPollReply(PollReply reply, long askedAt, long bornMs) {
        mPollInFlight = false;
        if (mStopped) {
            return;
        }
        long now = mClock.monotonicMs();
        OrderAnswer answer = reply == null ? OrderAnswer.UNKNOWN : reply.answer();
        if (answer == OrderAnswer.ACCEPTED) {
            if (mUnreachable) {
                mEvents.record(EventCode.WORKER_HEARD, "", "worker=" + mEntry.id());
            }
            mUnreachable = false;
            mLastResponseAtMs = now;
            mHasUnacknowledgedEnds = !reply.runs().ended().isEmpty();
            if (bornMs == mEntry.bornMs()) {
                mWorkerClockOffsetMs = reply.runs().clockMs() - now;
                mWorkerClockKnown = true;
            }
            logEndedRuns(reply.runs());
            mScheduler.onRuns(mEntry.id(), reply.runs(), askedAt, now);
            mNextPollAtMs = Math.max(now, askedAt + MIN_POLL_INTERVAL_MS);
        } else if (answer == OrderAnswer.FENCED) {
            mOnFenced.run();
        } else {
            onNoResponse(answer, now);
        }
        pollIfDue();
    }

    private void logEndedRuns(WorkerRuns runs) {
        if (runs.bornMs() != mLoggedIncarnationBornMs) {
            mLoggedIncarnationBornMs = runs.bornMs();
            mLastLoggedEndNumber = 0;
        }
        for (WorkerRuns.Ended end : runs.ended()) {
            if (end.number() > mLastLoggedEndNumber) {
                mLastLoggedEndNumber = end.number();
                mEvents.record(
                        EventCode.RUN_ENDED,
                        end.run().task().job().value(),
                        "run=" + end.run() + " worker=" + mEntry.id() + " how=" + end.how());
            }
        }
    }

    private void onNoResponse(OrderAnswer answer, long now) {
        if (!mUnreachable) {
            mUnreachable = true;
            mEvents.record(
                    EventCode.WORKER_UNREACHABLE,
                    "",
                    "worker=" + mEntry.id() + " answer=" + answer);
        }
        mScheduler.onWorkerSilent(mEntry.id());
        mNextPollAtMs =
                now
                        + (mScheduler.hasRuns(mEntry.id())
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

    private long leaseExpiryOnWorkerClockMs(long now) {
        return now + mWorkerClockOffsetMs + leaseMs();
    }

    /** Returns when a lease that is granted now has ended; leases granted before may be longer. */
    private long latestLeaseExpiryMs(long now) {
        return latestLeaseExpiryMs(now, leaseMs());
    }

    private long leaseMs() {
        long most = mSettings.maxWorkerLeaseMs();
        return mEntry.draining() ? Math.min(most, DRAINING_LEASE_MS) : most;
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

    /** Returns when a lease granted now has ended by any worker's clock. */
    static long latestLeaseExpiryMs(long now, long holdMaxMs) {
        return now + Math.round(holdMaxMs * MAX_CLOCK_SLOWNESS_FACTOR) + LEASE_EXPIRY_MARGIN_MS;
    }
}
