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
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.limits.LinkLimit;
import org.lycheeroad.coordination.limits.ShareHolder;
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
    private static final int RESERVED_SLOTS_WAIT_DIVISOR = 4;

    /** Above this part of error answers, the requests are at fault and not single targets. */
    private static final double MAX_EJECTING_ERROR_RATE = 0.3;

    private static final double ERROR_SAMPLE_WEIGHT = 0.01;

    /** Walking through 10,000 waiting requests more often would cost more than it saves. */
    private static final long SHED_INTERVAL_MICROS = 500_000;

    private final RouterSettings mSettings;
    private final Random mRandom;

    private final AbandonedClaims mAbandonedClaims;

    private final Map<RequestId, RoutedRequest> mRequests = new HashMap<>();
    private final NavigableSet<RoutedRequest> mByDeadline = orderedBy(r -> r.mDeadlineMicros);
    private final NavigableSet<RoutedRequest> mDelayed = orderedBy(r -> r.mRetryAtMicros);
    private final FairQueue mQueue = new FairQueue();
    private final ServiceTimes mServiceTimes = new ServiceTimes();
    private final StartRates mStartRates = new StartRates();
    private final OverdueAttempts mOverdueAttempts = new OverdueAttempts(mServiceTimes);
    private final PeerLoads mPeerLoads = new PeerLoads();
    private final LinkBudget mLinkBudget;
    private final TargetSelector mTargetSelector;
    private final LoadReporter mLoadReporter;
    private final RateLimits mRateLimits;
    private final WaitEstimate mWaitEstimate;
    private final Map<TeamId, RetryBudget> mRetryBudgets = new ServiceTimes.LruMap<>(MAX_TEAMS);
    private double mErrorRate;
    private long mLastShedMicros = Long.MIN_VALUE / 2;
    private int mHeldConnections;
    private int mHeldByLongWork;
    private long mNextSequence;

    /** Time of the event that is being handled. */
    private long mNowMicros;

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
        double floor = ShareHolder.floor(settings.linkBytesPerSecond(), settings.entryCount());
        mLinkBudget = new LinkBudget(floor, 0);
        mTargetSelector = new TargetSelector(settings, mRandom, mPeerLoads, mLinkBudget);
        mLoadReporter = new LoadReporter(mRandom);
        mRateLimits = new RateLimits(settings.entryCount());
        mWaitEstimate = new WaitEstimate(mQueue, mServiceTimes, mRateLimits, mStartRates);
    }

    @Override
    public List<RoutingAction> handle(RoutingEvent event, long nowMicros) {
        mActions = new ArrayList<>();
        mNowMicros = nowMicros;
        apply(event, nowMicros);
        rejectExpired(nowMicros);
        requeueDelayed(nowMicros);
        mPeerLoads.removeStale(nowMicros);
        mAbandonedClaims.removeExpired(nowMicros);
        mOverdueAttempts.updateCounts(mTargetSelector.all(), nowMicros);
        dispatchWaiting(nowMicros);
        mStartRates.sample(mQueue, nowMicros);
        shedWaiting(nowMicros);
        return mActions;
    }

    @Override
    public Map<TargetId, Integer> takeLoadReport(long nowMicros) {
        return mLoadReporter.takeReport(mTargetSelector.all(), mTargetSelector, nowMicros);
    }

    @Override
    public double takeLinkDemandBytes() {
        return mLinkBudget.takeDemandBytes();
    }

    /** Returns the requests that hold a connection at each target that has any. */
    public Map<TargetId, Integer> requestCountByTarget() {
        Map<TargetId, Integer> inFlight = new HashMap<>();
        for (TargetState target : mTargetSelector.all()) {
            if (target.heldCount() > 0) {
                inFlight.put(target.mInfo.id(), target.heldCount());
            }
        }
        return inFlight;
    }

    /** Returns the number of requests without a target, including those after a back-off. */
    public int waitingRequestCount() {
        return mQueue.size() + mDelayed.size();
    }

    @Override
    public int openRequestCount() {
        return mRequests.size();
    }

    /** Returns the number of ended requests whose claim may still be answered. */
    public int abandonedClaimCount() {
        return mAbandonedClaims.size();
    }

    /** Returns the number of attempts sent to other regions so far. */
    public long remoteAttemptCount() {
        return mTargetSelector.remoteAttemptCount();
    }

    private void apply(RoutingEvent event, long now) {
        if (event instanceof RoutingEvent.RequestArrived e) {
            requestArrived(e, now);
        } else if (event instanceof RoutingEvent.ClaimAnswered e) {
            claimAnswered(e, now);
        } else if (event instanceof RoutingEvent.AttemptEnded e) {
            attemptEnded(e, now);
        } else if (event instanceof RoutingEvent.CallerDisconnected e) {
            callerDisconnected(e, now);
        } else if (event instanceof RoutingEvent.TargetsChanged e) {
            mTargetSelector.setTargets(e.targets(), now);
        } else if (event instanceof RoutingEvent.PeerLoadReported e) {
            if (!e.entry().equals(mSettings.entry())) {
                mPeerLoads.update(e.entry(), e.inFlight(), now);
            }
        } else if (event instanceof RoutingEvent.TableChanged e) {
            tableChanged(e.table(), now);
        } else if (event instanceof RoutingEvent.ShareChanged e) {
            shareChanged(e, now);
        } else if (event instanceof RoutingEvent.LinkBytesCounted e) {
            mLinkBudget.settleAttempt(
                    e.request(), e.attempt(), e.sentBytes(), e.receivedBytes(), e.complete());
        } else if (event instanceof RoutingEvent.DrainStarted) {
            mDraining = true;
        }
    }

    private void shareChanged(RoutingEvent.ShareChanged event, long now) {
        if (new LimitKey(event.team(), event.kind()).equals(LinkLimit.KEY)) {
            mLinkBudget.setRate(event.ratePerSecond(), now);
        } else {
            mRateLimits.setShare(new Flow(event.team(), event.kind()), event.ratePerSecond(), now);
        }
    }

    private void requestArrived(RoutingEvent.RequestArrived event, long now) {
        if (mRequests.containsKey(event.request())) {
            return;
        }
        RoutedRequest request = new RoutedRequest(event, mNextSequence++, now);
        String refusal = rejectionReason(request, now);
        if (refusal != null) {
            mActions.add(new RoutingAction.Reject(request.mId, RequestOutcome.NOT_RUN, refusal));
            return;
        }
        mRequests.put(request.mId, request);
        mByDeadline.add(request);
        retryBudget(request).requestArrived();
        mQueue.add(request);
    }

    private String rejectionReason(RoutedRequest request, long now) {
        long left = request.mDeadlineMicros - now;
        if (mDraining) {
            return "draining";
        }
        if (left <= 0) {
            return "deadline";
        }
        if (waitingRequestCount() >= mSettings.maxQueued()
                || mQueue.size(request.mFlow.team()) >= mSettings.maxQueuedPerTeam()) {
            return "queue_full";
        }
        return mWaitEstimate.willMissDeadline(request.mFlow, left, mHeldConnections)
                ? "overloaded"
                : null;
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
                request.mHoldsClaim = true;
                if (request.mDeadlineMicros <= now) {
                    reject(request, "deadline");
                } else if (mTargetSelector.isUsable(request.mTarget, now)) {
                    dispatch(request, now);
                } else {
                    requeue(request);
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
                recordAnswer(request, event.outcome() == AttemptOutcome.FAILED_WHOLE, now);
                remove(request);
                mActions.add(new RoutingAction.RequestFinished(request.mId, event.attempt()));
            }
            case REFUSED_NOT_RUN -> {
                health.recordRefusal(now);
                retryRefused(request);
            }
            case REFUSED_DRAINING -> {
                health.recordDraining(now);
                retryRefused(request);
            }
            case NOT_SENT -> {
                health.recordFailure(mTargetSelector.mayEject(), now);
                retryNotSent(request, now);
            }
            case BROKEN -> {
                health.recordFailure(mTargetSelector.mayEject(), now);
                retryBroken(request);
            }
        }
    }

    private void recordAnswer(RoutedRequest request, boolean error, long now) {
        mErrorRate += ERROR_SAMPLE_WEIGHT * ((error ? 1 : 0) - mErrorRate);
        boolean mayEject = mErrorRate < MAX_EJECTING_ERROR_RATE && mTargetSelector.mayEject();
        request.mTarget.mHealth.recordAnswer(error, mayEject, now);
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
        if (request.mCallerDisconnected) {
            request.mPhase = RoutedRequest.Phase.WAITING;
            reject(request, "caller_gone");
        } else {
            requeue(request);
        }
    }

    /** Tries again at once within the budget and later beyond it, as nothing has run. */
    private void retryNotSent(RoutedRequest request, long now) {
        if (request.mCallerDisconnected) {
            request.mPhase = RoutedRequest.Phase.WAITING;
            reject(request, "caller_gone");
        } else if (retryBudget(request).tryRetry()) {
            requeue(request);
        } else {
            releaseConnection(request);
            request.mPhase = RoutedRequest.Phase.DELAYED;
            request.mRetryAtMicros = now + Backoff.pauseMicros(request.mAttempt, mRandom);
            mDelayed.add(request);
        }
    }

    private void retryBroken(RoutedRequest request) {
        request.mMayHaveRun = true;
        if (request.mRepeatable && retryBudget(request).tryRetry()) {
            requeue(request);
        } else {
            request.mPhase = RoutedRequest.Phase.WAITING;
            reject(request, "broken");
        }
    }

    private void requeue(RoutedRequest request) {
        releaseConnection(request);
        request.mPhase = RoutedRequest.Phase.WAITING;
        mQueue.add(request);
    }

    private void callerDisconnected(RoutingEvent.CallerDisconnected event, long now) {
        RoutedRequest request = mRequests.get(event.request());
        if (request == null) {
            return;
        }
        request.mCallerDisconnected = true;
        // Not repeatable work in flight runs to its end, so that its outcome is known.
        if (request.mPhase != RoutedRequest.Phase.IN_FLIGHT || request.mRepeatable) {
            recordAborted(request, now);
            reject(request, "caller_gone");
        }
    }

    private void rejectExpired(long now) {
        while (!mByDeadline.isEmpty() && mByDeadline.first().mDeadlineMicros <= now) {
            RoutedRequest request = mByDeadline.first();
            // A target that never answers is found only by the deadlines that pass.
            if (mOverdueAttempts.isOverdue(request, now)) {
                request.mTarget.mHealth.recordFailure(mTargetSelector.mayEject(), now);
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

    private void requeueDelayed(long now) {
        while (!mDelayed.isEmpty() && mDelayed.first().mRetryAtMicros <= now) {
            requeue(mDelayed.pollFirst());
        }
    }

    private void dispatchWaiting(long now) {
        Set<Flow> blocked = new HashSet<>();
        while (mQueue.size() > 0) {
            Flow flow = mQueue.nextFlow(f -> !blocked.contains(f) && hasToken(f, now));
            if (flow == null) {
                return;
            }
            RoutedRequest request = mQueue.peek(flow);
            if (mWaitEstimate.isServiceTimeTooLong(flow, request.mDeadlineMicros - now)) {
                reject(request, "deadline_too_near");
                continue;
            }
            TargetState target = selectTarget(request, now);
            if (target == null) {
                blocked.add(flow);
            } else {
                mStartRates.recordStart(flow);
                mQueue.poll(flow, mServiceTimes.meanMicros(flow));
                reserveConnection(request, target, now);
            }
        }
    }

    /** Rejects waiting requests that have become too late, as targets failed or slowed down. */
    private void shedWaiting(long now) {
        if (now - mLastShedMicros < SHED_INTERVAL_MICROS) {
            return;
        }
        mLastShedMicros = now;
        for (Flow flow : mQueue.waitingFlows()) {
            int ahead = 0;
            for (RoutedRequest request : mQueue.waitingRequests(flow)) {
                long left = request.mDeadlineMicros - now;
                if (mWaitEstimate.willMissDeadlineWhileWaiting(
                        flow, ahead, left, mHeldConnections)) {
                    reject(request, "overloaded");
                } else {
                    ahead++;
                }
            }
        }
    }

    private boolean hasToken(Flow flow, long now) {
        return mQueue.peek(flow).mTookToken || mRateLimits.hasToken(flow, now);
    }

    private TargetState selectTarget(RoutedRequest request, long now) {
        long patience =
                (request.mDeadlineMicros - request.mArrivedMicros) / RESERVED_SLOTS_WAIT_DIVISOR;
        return mTargetSelector.select(
                request,
                mServiceTimes.isLong(request.mFlow, now),
                now - request.mArrivedMicros > patience && isShortWorkInMajority(),
                mWaitEstimate.exceedsRegionRoundTrip(request.mFlow, mHeldConnections),
                now);
    }

    /** Tells whether long work holds less than half of the connections in use. */
    private boolean isShortWorkInMajority() {
        return 2 * mHeldByLongWork < mHeldConnections;
    }

    /** Takes a connection of the target and sends the request or first claims it. */
    private void reserveConnection(RoutedRequest request, TargetState target, long now) {
        request.mTarget = target;
        mHeldConnections++;
        if (mServiceTimes.isLong(request.mFlow, now)) {
            request.mCountedAsLong = true;
            mHeldByLongWork++;
        }
        target.hold(request, now);
        if (!request.mTookToken) {
            request.mTookToken = true;
            mRateLimits.takeToken(request.mFlow, now);
        }
        if (request.mRepeatable || request.mHoldsClaim) {
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
        if (request.mLinkCharge != null) {
            mLinkBudget.recordDispatch(request.mId, request.mAttempt, request.mLinkCharge);
            request.mLinkCharge = null;
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
        mRateLimits.setLimits(TableLimits.of(table), now);
    }

    private RetryBudget retryBudget(RoutedRequest request) {
        return mRetryBudgets.computeIfAbsent(request.mFlow.team(), t -> new RetryBudget());
    }

    private void reject(RoutedRequest request, String reason) {
        RequestOutcome outcome = request.outcomeWithoutAnswer();
        if (request.mPhase == RoutedRequest.Phase.IN_FLIGHT) {
            mActions.add(new RoutingAction.AbortAttempt(request.mId, request.mAttempt));
        }
        if (request.mHoldsClaim && outcome == RequestOutcome.NOT_RUN) {
            mActions.add(new RoutingAction.ReleaseClaim(request.mId));
        }
        if (request.mPhase == RoutedRequest.Phase.CLAIMING && !request.mClaimAnswered) {
            mAbandonedClaims.add(request.mId, mNowMicros);
        }
        remove(request);
        mActions.add(new RoutingAction.Reject(request.mId, outcome, reason));
    }

    private void remove(RoutedRequest request) {
        releaseConnection(request);
        mQueue.remove(request);
        mDelayed.remove(request);
        mRequests.remove(request.mId);
        mByDeadline.remove(request);
    }

    /** Returns the connection that the request holds at its target, if it holds one. */
    private void releaseConnection(RoutedRequest request) {
        if (request.mTarget != null) {
            request.mLastTarget = request.mTarget.mInfo.id();
            request.mTarget.release(request, mNowMicros);
            request.mTarget = null;
            if (request.mLinkCharge != null) {
                mLinkBudget.refund(request.mLinkCharge);
                request.mLinkCharge = null;
            }
            mHeldConnections--;
            if (request.mCountedAsLong) {
                request.mCountedAsLong = false;
                mHeldByLongWork--;
            }
        }
    }

    private static NavigableSet<RoutedRequest> orderedBy(ToLongFunction<RoutedRequest> key) {
        return new TreeSet<>(Comparator.comparingLong(key).thenComparingLong(r -> r.mSequence));
    }
}
