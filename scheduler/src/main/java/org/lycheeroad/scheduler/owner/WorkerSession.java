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
    private static final long LOOK_WAIT_MS = 1_000;

    /** The same for a worker whose tasks disturb each other: workers measure over half a second. */
    private static final long CLOSE_LOOK_WAIT_MS = 300;

    /** The least time between two looks that find nothing new. */
    private static final long LOOK_PAUSE_MS = 150;

    private static final long RETRY_MS = 250;

    /** Looks at a busy worker follow each other within a second; restarts take longer. */
    private static final long RECENT_ANSWER_MS = 1_500;

    /** Looks at a silent worker without runs are as rare as its own entries. */
    private static final long IDLE_RETRY_MS = 1_500;

    /** The steady clocks of workers may be 2% slow. */
    private static final double SLOW_CLOCK = 1.02;

    /**
     * The lease on a worker that is about to leave: some looks. Its tasks can start elsewhere once
     * the lease has ended, and it does not say when it has gone.
     */
    private static final long LEAVING_HOLD_MS = 2_500;

    /** Covers the way to the worker and the rounding of clocks. */
    private static final long LAPSE_MARGIN_MS = 400;

    private final WorkerGateway mGateway;
    private final SerialExecutor mStrand;
    private final JobScheduler mScheduler;
    private final Term mTerm;
    private final NodeSettings mSettings;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final NodeMetrics mMetrics;
    private final Runnable mOnFenced;

    private WorkerEntry mEntry;
    private boolean mStopped;
    private boolean mLooking;
    private boolean mSilent;
    private long mAnsweredAt = Long.MIN_VALUE / 2;

    /** Whether the worker still lists ends, and so has to hear up to which it may forget them. */
    private boolean mRemembers;

    private long mNextLookAt;
    private boolean mWakeSet;

    /** The worker's clock less the own one; the way to the worker makes it a little low. */
    private long mClockOffset;

    private boolean mClockKnown;

    /** The newest end that was logged, and the incarnation that numbered it. */
    private long mNewestEnd;

    private long mEndsBornMs;

    /** When all leases that may have been granted have certainly ended. */
    private long mLapsedAt;

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
        mStrand = strand;
        mScheduler = scheduler;
        mTerm = term;
        mSettings = settings;
        mClock = clock;
        mEvents = events;
        mMetrics = metrics;
        mOnFenced = onFenced;
        // An earlier owner may have extended the lease until its own term ended.
        mLapsedAt = lapseAfter(clock.monotonicMs(), settings.maxWorkerLeaseMs());
    }

    WorkerId id() {
        return mEntry.id();
    }

    void update(WorkerEntry entry) {
        if (entry.bornMs() != mEntry.bornMs()) {
            mClockKnown = false;
        }
        mEntry = entry;
    }

    void stop() {
        mStopped = true;
    }

    /** Starts a look when one is due; called after each change. */
    void pump() {
        long now = mClock.monotonicMs();
        if (mStopped || mLooking || !(mRemembers || mScheduler.needsLook(mEntry.id()))) {
            return;
        }
        if (now < mNextLookAt) {
            wakeAt(mNextLookAt - now);
            return;
        }
        if (!mTerm.mayAct()) {
            wakeAt(RETRY_MS);
            return;
        }
        look(now);
    }

    /** Tells the scheduler once all leases have certainly ended. */
    void checkLapse() {
        long now = mClock.monotonicMs();
        if (mSilent && now > mLapsedAt && mScheduler.hasRuns(mEntry.id())) {
            mEvents.record(EventCode.WORKER_LAPSED, "", "worker=" + mEntry.id());
            mScheduler.onLeaseLapsed(mEntry.id(), now);
        }
    }

    void start(JobAction.Start start) {
        if (!mTerm.mayAct() || start.bornMs() != mEntry.bornMs() || !mClockKnown) {
            // Nothing was sent; the run is tried anew.
            mScheduler.onStartAnswer(
                    mEntry.id(), start.run(), OrderAnswer.EXPIRED, mClock.monotonicMs());
            return;
        }
        long sent = mClock.monotonicMs();
        mLapsedAt = Math.max(mLapsedAt, lapseAfter(sent));
        mEvents.record(
                EventCode.ORDER_SENT,
                start.run().task().job().value(),
                "order=start run="
                        + start.run()
                        + " worker="
                        + mEntry.id()
                        + " epoch="
                        + mTerm.epoch());
        mStrand.whenComplete(
                mGateway.start(
                        target(),
                        start.run(),
                        start.spec(),
                        start.checkpoint(),
                        start.ticket(),
                        leaseUntil(sent)),
                (reply, e) -> {
                    OrderAnswer answer = onReply(reply, "start", start.run().toString());
                    mMetrics.recordOrderLatency(mClock.monotonicMs() - sent);
                    if (!mStopped) {
                        mScheduler.onStartAnswer(
                                mEntry.id(), start.run(), answer, mClock.monotonicMs());
                    }
                });
    }

    void stop(JobAction.Stop stop) {
        if (!mTerm.mayAct()) {
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
        mStrand.whenComplete(
                mGateway.stop(target(), stop.run()),
                (reply, e) -> {
                    OrderAnswer answer = onReply(reply, "stop", stop.run().toString());
                    if (!mStopped) {
                        mScheduler.onStopAnswer(
                                mEntry.id(), stop.run(), answer, mClock.monotonicMs());
                    }
                });
    }

    void throttle(JobAction.Throttle order) {
        if (mTerm.mayAct()) {
            mStrand.whenComplete(
                    mGateway.throttle(target(), order.run(), order.percent()),
                    (reply, e) -> {
                        OrderAnswer answer = onReply(reply, "throttle", order.run().toString());
                        if (!mStopped && answer == OrderAnswer.ACCEPTED) {
                            mScheduler.onThrottled(mEntry.id(), order.run(), order.percent());
                        }
                    });
        }
    }

    private void look(long now) {
        boolean busy = mScheduler.hasRuns(mEntry.id());
        // A silent worker's lease is left to end, so that its runs can start elsewhere.
        boolean extend = busy && mClockKnown && !mSilent;
        if (extend) {
            mLapsedAt = Math.max(mLapsedAt, lapseAfter(now));
        }
        long waitMs = mScheduler.hasDisturbance(mEntry.id()) ? CLOSE_LOOK_WAIT_MS : LOOK_WAIT_MS;
        mLooking = true;
        long bornMs = mEntry.bornMs();
        mMetrics.countWorkerPoll();
        mStrand.whenComplete(
                mGateway.poll(
                        target(), observed(now), extend ? leaseUntil(now) : 0, extend ? waitMs : 0),
                (reply, e) -> onLook(reply, now, bornMs));
    }

    /**
     * Returns up to which number the worker may forget its ends.
     *
     * <p>A worker that has not answered lately may have been replaced by an incarnation that counts
     * its ends anew, and must not forget any before they are listed.
     */
    private long observed(long now) {
        boolean recent = !mSilent && now - mAnsweredAt < RECENT_ANSWER_MS;
        return recent ? mScheduler.observed(mEntry.id()) : 0;
    }

    private void onLook(PollReply reply, long askedAt, long bornMs) {
        mLooking = false;
        if (mStopped) {
            return;
        }
        long now = mClock.monotonicMs();
        OrderAnswer answer = reply == null ? OrderAnswer.UNKNOWN : reply.answer();
        if (answer == OrderAnswer.ACCEPTED) {
            if (mSilent) {
                mEvents.record(EventCode.WORKER_HEARD, "", "worker=" + mEntry.id());
            }
            mSilent = false;
            mAnsweredAt = now;
            mRemembers = !reply.runs().ended().isEmpty();
            if (bornMs == mEntry.bornMs()) {
                mClockOffset = reply.runs().clockMs() - now;
                mClockKnown = true;
            }
            recordEnds(reply.runs());
            mScheduler.onRuns(mEntry.id(), reply.runs(), askedAt, now);
            mNextLookAt = Math.max(now, askedAt + LOOK_PAUSE_MS);
        } else if (answer == OrderAnswer.FENCED) {
            mOnFenced.run();
        } else {
            onSilent(answer, now);
        }
        pump();
    }

    private void recordEnds(WorkerRuns runs) {
        if (runs.bornMs() != mEndsBornMs) {
            mEndsBornMs = runs.bornMs();
            mNewestEnd = 0;
        }
        for (WorkerRuns.Ended end : runs.ended()) {
            if (end.number() > mNewestEnd) {
                mNewestEnd = end.number();
                mEvents.record(
                        EventCode.RUN_ENDED,
                        end.run().task().job().value(),
                        "run=" + end.run() + " worker=" + mEntry.id() + " how=" + end.how());
            }
        }
    }

    private void onSilent(OrderAnswer answer, long now) {
        if (!mSilent) {
            mSilent = true;
            mEvents.record(
                    EventCode.WORKER_UNREACHABLE,
                    "",
                    "worker=" + mEntry.id() + " answer=" + answer);
        }
        mScheduler.onWorkerSilent(mEntry.id());
        mNextLookAt = now + (mScheduler.hasRuns(mEntry.id()) ? RETRY_MS : IDLE_RETRY_MS);
    }

    private OrderAnswer onReply(OrderAnswer reply, String order, String run) {
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

    private WorkerEndpoint target() {
        return new WorkerEndpoint(mEntry.id(), mEntry.address(), mTerm.epoch());
    }

    private long leaseUntil(long now) {
        return now + mClockOffset + holdMs();
    }

    /** Returns when a lease that is granted now has ended; leases granted before may be longer. */
    private long lapseAfter(long now) {
        return lapseAfter(now, holdMs());
    }

    private long holdMs() {
        long most = mSettings.maxWorkerLeaseMs();
        return mEntry.draining() ? Math.min(most, LEAVING_HOLD_MS) : most;
    }

    private void wakeAt(long delayMs) {
        if (!mWakeSet) {
            mWakeSet = true;
            mStrand.schedule(
                    delayMs,
                    () -> {
                        mWakeSet = false;
                        pump();
                    });
        }
    }

    /** Returns when a lease granted now has ended by any worker's clock. */
    static long lapseAfter(long now, long holdMaxMs) {
        return now + Math.round(holdMaxMs * SLOW_CLOCK) + LAPSE_MARGIN_MS;
    }
}
