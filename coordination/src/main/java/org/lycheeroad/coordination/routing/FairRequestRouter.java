package org.lycheeroad.coordination.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import org.lycheeroad.coordination.limits.InterRegionLinkLimit;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.limits.ShareClient;
import org.lycheeroad.coordination.limits.TableLimits;
import org.lycheeroad.coordination.retry.Backoff;
import org.lycheeroad.coordination.retry.RetryBudget;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableRow;
import org.lycheeroad.state.table.WorkClass;

/**
 * Sends requests to little loaded targets and shares the slots fairly while requests wait.
 *
 * <p>Each request gets exactly one final action, {@link RoutingAction.Reject} or {@link
 * RoutingAction.RequestFinished}, also when its caller has gone. Events about requests or attempts
 * that it does not know are ignored, as answers may be late, crossed or repeated.
 */
public final class FairRequestRouter implements RequestRouter {
    private static final int MAX_TEAMS = 4_096;

    /** Work that waited for this part of its time limit may take slots reserved for short work. */
    private static final int RESERVED_AFTER_PART = 4;

    /** Above this part of error answers, the requests are at fault and not single targets. */
    private static final double COMMON_ERROR_PART = 0.3;

    private static final double ERROR_SAMPLE_WEIGHT = 0.01;

    /** Walking through 10,000 waiting requests more often would cost more than it saves. */
    private static final long SHED_INTERVAL_MICROS = 500_000;

    private final RouterSettings mSettings;
    private final Random mRandom;

    private final AbandonedClaims mAbandonedClaims;

    private final Map<RequestId, RoutedRequest> mRequests = new HashMap<>();
    private final NavigableSet<RoutedRequest> mByDeadline = orderedBy(r -> r.mDeadlineMicros);
    private final NavigableSet<RoutedRequest> mDelayed = orderedBy(r -> r.mNotBeforeMicros);
    private final FairQueue mQueue = new FairQueue();
    private final ServiceTimes mServiceTimes = new ServiceTimes();
    private final StartRates mStartRates = new StartRates();
    private final OverdueAttempts mOverdue = new OverdueAttempts(mServiceTimes);
    private final PeerLoads mPeerLoads = new PeerLoads();
    private final LinkBudget mLink;
    private final TargetSelector mTargets;
    private final LoadReport mLoadReport;
    private final RateLimits mRateLimits;
    private final WaitEstimate mWaitEstimate;
    private final Map<TeamId, RetryBudget> mRetryBudgets =
            new ServiceTimes.RecentlyUsed<>(MAX_TEAMS);
    private double mErrorPart;
    private long mShedAt = Long.MIN_VALUE / 2;
    private int mHeld;
    private int mHeldLong;
    private long mSequence;

    /** Time of the event that is being handled. */
    private long mNow;

    private boolean mDraining;
    private List<RoutingAction> mActions = new ArrayList<>();

    /**
     * Creates a router without targets.
     *
     * @param seed decides between targets and spreads out retries
     */
    public FairRequestRouter(RouterSettings settings, long seed) {
        mSettings = settings;
        mRandom = new Random(seed);
        mAbandonedClaims = new AbandonedClaims(settings.maxQueued());
        double floor = ShareClient.baseShare(settings.linkBytesPerSecond(), settings.entries());
        mLink = new LinkBudget(floor, 0);
        mTargets = new TargetSelector(settings, mRandom, mPeerLoads, mLink);
        mLoadReport = new LoadReport(mRandom);
        mRateLimits = new RateLimits(settings.entries());
        mWaitEstimate = new WaitEstimate(mQueue, mServiceTimes, mRateLimits, mStartRates);
    }

    @Override
    public List<RoutingAction> handle(RoutingEvent event, long nowMicros) {
        mActions = new ArrayList<>();
        mNow = nowMicros;
        apply(event, nowMicros);
        expire(nowMicros);
        wakeDelayed(nowMicros);
        mPeerLoads.dropStale(nowMicros);
        mAbandonedClaims.dropOld(nowMicros);
        mOverdue.count(mTargets.all(), nowMicros);
        dispatchWaiting(nowMicros);
        mStartRates.sample(mQueue, nowMicros);
        shedWaiting(nowMicros);
        return mActions;
    }

    @Override
    public Map<TargetId, Integer> takeLoad(long nowMicros) {
        return mLoadReport.take(mTargets.all(), mTargets, nowMicros);
    }

    @Override
    public double takeLinkDemand() {
        return mLink.takeDemand();
    }

    /** Returns the requests that hold a connection at each target that has any. */
    public Map<TargetId, Integer> inFlight() {
        Map<TargetId, Integer> inFlight = new HashMap<>();
        for (TargetState target : mTargets.all()) {
            if (target.own() > 0) {
                inFlight.put(target.mInfo.id(), target.own());
            }
        }
        return inFlight;
    }

    /** Returns the number of requests without a target, including those after a back-off. */
    public int waiting() {
        return mQueue.size() + mDelayed.size();
    }

    @Override
    public int open() {
        return mRequests.size();
    }

    /** Returns the number of ended requests whose claim may still be answered. */
    public int abandonedClaims() {
        return mAbandonedClaims.size();
    }

    /** Returns the number of attempts sent to other regions so far. */
    public long crossed() {
        return mTargets.crossed();
    }

    private void apply(RoutingEvent event, long now) {
        if (event instanceof RoutingEvent.RequestArrived e) {
            arrive(e, now);
        } else if (event instanceof RoutingEvent.ClaimAnswered e) {
            claimAnswered(e, now);
        } else if (event instanceof RoutingEvent.AttemptEnded e) {
            attemptEnded(e, now);
        } else if (event instanceof RoutingEvent.CallerGone e) {
            callerGone(e, now);
        } else if (event instanceof RoutingEvent.TargetsChanged e) {
            mTargets.targetsChanged(e.targets(), now);
        } else if (event instanceof RoutingEvent.PeerLoad e) {
            if (!e.entry().equals(mSettings.entry())) {
                mPeerLoads.reported(e.entry(), e.inFlight(), now);
            }
        } else if (event instanceof RoutingEvent.TableChanged e) {
            tableChanged(e.table(), now);
        } else if (event instanceof RoutingEvent.ShareChanged e) {
            shareChanged(e, now);
        } else if (event instanceof RoutingEvent.LinkBytes e) {
            mLink.ended(e.request(), e.attempt(), e.sent(), e.received(), e.whole());
        } else if (event instanceof RoutingEvent.Drain) {
            mDraining = true;
        }
    }

    private void shareChanged(RoutingEvent.ShareChanged event, long now) {
        if (new LimitKey(event.team(), event.kind()).equals(InterRegionLinkLimit.KEY)) {
            mLink.setRate(event.perSecond(), now);
        } else {
            mRateLimits.shareChanged(new Flow(event.team(), event.kind()), event.perSecond(), now);
        }
    }

    private void arrive(RoutingEvent.RequestArrived event, long now) {
        if (mRequests.containsKey(event.request())) {
            return;
        }
        RoutedRequest request = new RoutedRequest(event, mSequence++, now);
        String refusal = refusal(request, now);
        if (refusal != null) {
            mActions.add(new RoutingAction.Reject(request.mId, Outcome.NOT_RUN, refusal));
            return;
        }
        mRequests.put(request.mId, request);
        mByDeadline.add(request);
        retryBudget(request).deposit();
        mQueue.add(request);
    }

    private String refusal(RoutedRequest request, long now) {
        long left = request.mDeadlineMicros - now;
        if (mDraining) {
            return "draining";
        }
        if (left <= 0) {
            return "deadline";
        }
        if (waiting() >= mSettings.maxQueued()
                || mQueue.size(request.mFlow.team()) >= mSettings.maxQueuedPerTeam()) {
            return "queue_full";
        }
        return mWaitEstimate.isTooLate(request.mFlow, left, mHeld) ? "overloaded" : null;
    }

    private void claimAnswered(RoutingEvent.ClaimAnswered event, long now) {
        if (mAbandonedClaims.remove(event.request()) && event.result() == ClaimResult.GRANTED) {
            mActions.add(new RoutingAction.ReleaseClaim(event.request()));
            return;
        }
        RoutedRequest request = mRequests.get(event.request());
        if (request == null || request.mPhase != RoutedRequest.Phase.CLAIMING) {
            return;
        }
        request.mClaimAnswered = true;
        switch (event.result()) {
            case GRANTED -> {
                request.mClaimed = true;
                if (request.mDeadlineMicros <= now) {
                    reject(request, "deadline");
                } else if (mTargets.isUsable(request.mTarget, now)) {
                    dispatch(request, now);
                } else {
                    queueAgain(request);
                }
            }
            case ALREADY_CLAIMED -> {
                // The holder of the claim may have run the work.
                request.mMayHaveRun = true;
                reject(request, "already_claimed");
            }
            case UNAVAILABLE -> reject(request, "claim_unavailable");
        }
    }

    private void attemptEnded(RoutingEvent.AttemptEnded event, long now) {
        RoutedRequest request = mRequests.get(event.request());
        if (request == null
                || request.mPhase != RoutedRequest.Phase.IN_FLIGHT
                || request.mAttempt != event.attempt()) {
            return;
        }
        TargetHealth health = request.mTarget.mHealth;
        switch (event.outcome()) {
            case WHOLE, FAILED_WHOLE -> {
                answered(request, event.outcome() == AttemptOutcome.FAILED_WHOLE, now);
                forget(request);
                mActions.add(new RoutingAction.RequestFinished(request.mId, event.attempt()));
            }
            case REFUSED_NOT_RUN -> {
                health.refused(now);
                retryRefused(request);
            }
            case REFUSED_DRAINING -> {
                health.draining(now);
                retryRefused(request);
            }
            case NOT_SENT -> {
                health.failed(mTargets.mayEject(), now);
                retryNotSent(request, now);
            }
            case BROKEN -> {
                health.failed(mTargets.mayEject(), now);
                retryBroken(request);
            }
        }
    }

    private void answered(RoutedRequest request, boolean error, long now) {
        mErrorPart += ERROR_SAMPLE_WEIGHT * ((error ? 1 : 0) - mErrorPart);
        boolean mayEject = mErrorPart < COMMON_ERROR_PART && mTargets.mayEject();
        request.mTarget.mHealth.answered(error, mayEject, now);
        // Errors often come at once and would make the work look short.
        if (!error) {
            mServiceTimes.record(request.mFlow, now - request.mDispatchedMicros, now);
        }
    }

    /**
     * Queues a refused request again without using the retry budget.
     *
     * <p>A refusal costs the target next to nothing, and the target that refused is paused, so that
     * the pauses alone bound the attempts of all requests together.
     */
    private void retryRefused(RoutedRequest request) {
        if (request.mCallerGone) {
            request.mPhase = RoutedRequest.Phase.WAITING;
            reject(request, "caller_gone");
        } else {
            queueAgain(request);
        }
    }

    /** Tries again at once within the budget and later beyond it, as nothing has run. */
    private void retryNotSent(RoutedRequest request, long now) {
        if (request.mCallerGone) {
            request.mPhase = RoutedRequest.Phase.WAITING;
            reject(request, "caller_gone");
        } else if (retryBudget(request).tryWithdraw()) {
            queueAgain(request);
        } else {
            release(request);
            request.mPhase = RoutedRequest.Phase.DELAYED;
            request.mNotBeforeMicros = now + Backoff.pauseMicros(request.mAttempt, mRandom);
            mDelayed.add(request);
        }
    }

    private void retryBroken(RoutedRequest request) {
        request.mMayHaveRun = true;
        if (request.mRepeatable && retryBudget(request).tryWithdraw()) {
            queueAgain(request);
        } else {
            request.mPhase = RoutedRequest.Phase.WAITING;
            reject(request, "broken");
        }
    }

    private void queueAgain(RoutedRequest request) {
        release(request);
        request.mPhase = RoutedRequest.Phase.WAITING;
        mQueue.add(request);
    }

    private void callerGone(RoutingEvent.CallerGone event, long now) {
        RoutedRequest request = mRequests.get(event.request());
        if (request == null) {
            return;
        }
        request.mCallerGone = true;
        // Not repeatable work in flight runs to its end, so that its outcome is known.
        if (request.mPhase != RoutedRequest.Phase.IN_FLIGHT || request.mRepeatable) {
            recordAborted(request, now);
            reject(request, "caller_gone");
        }
    }

    private void expire(long now) {
        while (!mByDeadline.isEmpty() && mByDeadline.first().mDeadlineMicros <= now) {
            RoutedRequest request = mByDeadline.first();
            // A target that never answers is found only by the deadlines that pass.
            if (mOverdue.isOverdue(request, now)) {
                request.mTarget.mHealth.failed(mTargets.mayEject(), now);
            }
            recordAborted(request, now);
            reject(request, "deadline");
        }
    }

    private void recordAborted(RoutedRequest request, long now) {
        if (request.mPhase == RoutedRequest.Phase.IN_FLIGHT) {
            mServiceTimes.recordAborted(request.mFlow, now - request.mDispatchedMicros, now);
        }
    }

    private void wakeDelayed(long now) {
        while (!mDelayed.isEmpty() && mDelayed.first().mNotBeforeMicros <= now) {
            queueAgain(mDelayed.pollFirst());
        }
    }

    private void dispatchWaiting(long now) {
        Set<Flow> blocked = new HashSet<>();
        while (mQueue.size() > 0) {
            Flow flow = mQueue.next(f -> !blocked.contains(f) && hasToken(f, now));
            if (flow == null) {
                return;
            }
            RoutedRequest request = mQueue.head(flow);
            if (mWaitEstimate.isHopeless(flow, request.mDeadlineMicros - now)) {
                reject(request, "deadline_too_near");
                continue;
            }
            TargetState target = select(request, now);
            if (target == null) {
                blocked.add(flow);
            } else {
                mStartRates.started(flow);
                mQueue.take(flow, mServiceTimes.mean(flow));
                hold(request, target, now);
            }
        }
    }

    /** Rejects waiting requests that have become too late, as targets failed or slowed down. */
    private void shedWaiting(long now) {
        if (now - mShedAt < SHED_INTERVAL_MICROS) {
            return;
        }
        mShedAt = now;
        for (Flow flow : mQueue.waitingFlows()) {
            int ahead = 0;
            for (RoutedRequest request : mQueue.waiting(flow)) {
                long left = request.mDeadlineMicros - now;
                if (mWaitEstimate.hasBecomeTooLate(flow, ahead, left, mHeld)) {
                    reject(request, "overloaded");
                } else {
                    ahead++;
                }
            }
        }
    }

    private boolean hasToken(Flow flow, long now) {
        return mQueue.head(flow).mAdmitted || mRateLimits.admits(flow, now);
    }

    private TargetState select(RoutedRequest request, long now) {
        long patience = (request.mDeadlineMicros - request.mArrivedMicros) / RESERVED_AFTER_PART;
        return mTargets.select(
                request,
                mServiceTimes.isLong(request.mFlow, now),
                now - request.mArrivedMicros > patience && isShortWorkInMajority(),
                mWaitEstimate.isLongerThanCrossing(request.mFlow, mHeld),
                now);
    }

    /** Tells whether long work holds less than half of the connections in use. */
    private boolean isShortWorkInMajority() {
        return 2 * mHeldLong < mHeld;
    }

    /** Takes a connection of the target and sends the request or first claims it. */
    private void hold(RoutedRequest request, TargetState target, long now) {
        request.mTarget = target;
        mHeld++;
        if (mServiceTimes.isLong(request.mFlow, now)) {
            request.mHeldAsLong = true;
            mHeldLong++;
        }
        target.hold(request, now);
        if (!request.mAdmitted) {
            request.mAdmitted = true;
            mRateLimits.take(request.mFlow, now);
        }
        if (request.mRepeatable || request.mClaimed) {
            dispatch(request, now);
        } else {
            request.mPhase = RoutedRequest.Phase.CLAIMING;
            mActions.add(new RoutingAction.StartClaim(request.mId));
        }
    }

    private void dispatch(RoutedRequest request, long now) {
        request.mPhase = RoutedRequest.Phase.IN_FLIGHT;
        request.mAttempt++;
        request.mDispatchedMicros = now;
        TargetId target = request.mTarget.mInfo.id();
        if (request.mCrossing != null) {
            mLink.dispatched(request.mId, request.mAttempt, request.mCrossing);
            request.mCrossing = null;
        }
        mActions.add(new RoutingAction.Dispatch(request.mId, request.mAttempt, target));
    }

    private void tableChanged(OperatorTable table, long now) {
        Map<Flow, Integer> weights = new HashMap<>();
        for (TableRow row : table.rows()) {
            if (row.work() == WorkClass.REQUEST && row.region().equals(mSettings.region())) {
                weights.put(new Flow(row.team(), row.kind()), row.weight());
            }
        }
        mQueue.setWeights(weights);
        mRateLimits.limitsChanged(TableLimits.of(table), now);
    }

    private RetryBudget retryBudget(RoutedRequest request) {
        return mRetryBudgets.computeIfAbsent(request.mFlow.team(), t -> new RetryBudget());
    }

    private void reject(RoutedRequest request, String reason) {
        Outcome outcome = request.outcomeWithoutAnswer();
        if (request.mPhase == RoutedRequest.Phase.IN_FLIGHT) {
            mActions.add(new RoutingAction.AbortAttempt(request.mId, request.mAttempt));
        }
        if (request.mClaimed && outcome == Outcome.NOT_RUN) {
            mActions.add(new RoutingAction.ReleaseClaim(request.mId));
        }
        if (request.mPhase == RoutedRequest.Phase.CLAIMING && !request.mClaimAnswered) {
            mAbandonedClaims.add(request.mId, mNow);
        }
        forget(request);
        mActions.add(new RoutingAction.Reject(request.mId, outcome, reason));
    }

    private void forget(RoutedRequest request) {
        release(request);
        mQueue.remove(request);
        mDelayed.remove(request);
        mRequests.remove(request.mId);
        mByDeadline.remove(request);
    }

    /** Returns the connection that the request holds at its target, if it holds one. */
    private void release(RoutedRequest request) {
        if (request.mTarget != null) {
            request.mAvoid = request.mTarget.mInfo.id();
            request.mTarget.release(request, mNow);
            request.mTarget = null;
            if (request.mCrossing != null) {
                mLink.refund(request.mCrossing);
                request.mCrossing = null;
            }
            mHeld--;
            if (request.mHeldAsLong) {
                request.mHeldAsLong = false;
                mHeldLong--;
            }
        }
    }

    private static NavigableSet<RoutedRequest> orderedBy(ToLongFunction<RoutedRequest> key) {
        return new TreeSet<>(Comparator.comparingLong(key).thenComparingLong(r -> r.mSequence));
    }
}
