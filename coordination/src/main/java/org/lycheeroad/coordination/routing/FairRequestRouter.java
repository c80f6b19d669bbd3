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
 * A router that balances the load of the targets and, while requests wait, shares the slots fairly.
 *
 * <p>Each request gets exactly one final action, {@link RoutingAction.Reject} or {@link
 * RoutingAction.RequestFinished}, also if its caller has disconnected. Events about unknown
 * requests or attempts are ignored, because answers may be late, reordered or repeated.
 */
public final class FairRequestRouter implements RequestRouter {
    private static final int MAX_TEAMS = 4_096;

    /**
     * A long request may use slots reserved for short requests after it has waited for this
     * fraction, 1/4, of the time from its arrival to its deadline.
     */
    private static final int RESERVED_SLOTS_WAIT_DIVISOR = 4;

    /**
     * At or above this rate of error answers, the requests and not single targets are the likely
     * cause.
     */
    private static final double MAX_EJECTING_ERROR_RATE = 0.3;

    /** The weight of an answer in the moving average of the error rate. */
    private static final double ERROR_SAMPLE_WEIGHT = 0.01;

    /** Checking up to 10,000 waiting requests more often would cost more than it saves. */
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
    private int mHeldByLongRequests;
    private long mNextSequence;

    /** The time of the event that is being handled. */
    private long mNowMicros;

    private boolean mDraining;
    private List<RoutingAction> mActions = new ArrayList<>();

    /**
     * Creates a router without targets.
     *
     * @param seed the seed of the random selection of targets and of the retry jitter
     */
    public FairRequestRouter(RouterSettings settings, long seed) {
        mSettings = settings;
        mRandom = new Random(seed);
        mAbandonedClaims = new AbandonedClaims(settings.maxQueued());
        double minLinkBytesPerSecond =
                ShareClient.baseShare(settings.linkBytesPerSecond(), settings.entryCount());
        mLinkBudget = new LinkBudget(minLinkBytesPerSecond, 0);
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

    /** Returns the number of requests that hold a connection, for each target with any. */
    public Map<TargetId, Integer> requestCountByTarget() {
        Map<TargetId, Integer> counts = new HashMap<>();
        for (TargetState target : mTargetSelector.all()) {
            if (target.heldCount() > 0) {
                counts.put(target.mInfo.id(), target.heldCount());
            }
        }
        return counts;
    }

    /** Returns the number of requests that wait in the queue or for the end of a back-off. */
    public int waitingRequestCount() {
        return mQueue.size() + mDelayed.size();
    }

    @Override
    public int openRequestCount() {
        return mRequests.size();
    }

    /** Returns the number of ended requests whose claims may still be answered. */
    public int abandonedClaimCount() {
        return mAbandonedClaims.size();
    }

    /** Returns the number of attempts assigned to targets in other regions so far. */
    public long remoteAttemptCount() {
        return mTargetSelector.remoteAttemptCount();
    }

    private void apply(RoutingEvent event, long nowMicros) {
        if (event instanceof RoutingEvent.RequestArrived e) {
            requestArrived(e, nowMicros);
        } else if (event instanceof RoutingEvent.ClaimAnswered e) {
            claimAnswered(e, nowMicros);
        } else if (event instanceof RoutingEvent.AttemptEnded e) {
            attemptEnded(e, nowMicros);
        } else if (event instanceof RoutingEvent.CallerDisconnected e) {
            callerDisconnected(e, nowMicros);
        } else if (event instanceof RoutingEvent.TargetsChanged e) {
            mTargetSelector.setTargets(e.targets(), nowMicros);
        } else if (event instanceof RoutingEvent.PeerLoadReported e) {
            if (!e.entry().equals(mSettings.entry())) {
                mPeerLoads.update(e.entry(), e.inFlight(), nowMicros);
            }
        } else if (event instanceof RoutingEvent.TableChanged e) {
            tableChanged(e.table(), nowMicros);
        } else if (event instanceof RoutingEvent.ShareChanged e) {
            shareChanged(e, nowMicros);
        } else if (event instanceof RoutingEvent.LinkBytesCounted e) {
            mLinkBudget.settleAttempt(
                    e.request(), e.attempt(), e.sentBytes(), e.receivedBytes(), e.complete());
        } else if (event instanceof RoutingEvent.DrainStarted) {
            mDraining = true;
        }
    }

    private void shareChanged(RoutingEvent.ShareChanged event, long nowMicros) {
        if (new LimitKey(event.team(), event.kind()).equals(InterRegionLinkLimit.KEY)) {
            mLinkBudget.setRate(event.ratePerSecond(), nowMicros);
        } else {
            mRateLimits.setShare(
                    new Flow(event.team(), event.kind()), event.ratePerSecond(), nowMicros);
        }
    }

    private void requestArrived(RoutingEvent.RequestArrived event, long nowMicros) {
        if (mRequests.containsKey(event.request())) {
            return;
        }
        RoutedRequest request = new RoutedRequest(event, mNextSequence++, nowMicros);
        String reason = rejectionReason(request, nowMicros);
        if (reason != null) {
            mActions.add(new RoutingAction.Reject(request.mId, RequestOutcome.NOT_RUN, reason));
            return;
        }
        mRequests.put(request.mId, request);
        mByDeadline.add(request);
        retryBudget(request).deposit();
        mQueue.add(request);
    }

    /** Returns the reason to reject a new request, or null to accept it. */
    private String rejectionReason(RoutedRequest request, long nowMicros) {
        long remainingMicros = request.mDeadlineMicros - nowMicros;
        if (mDraining) {
            return "draining";
        }
        if (remainingMicros <= 0) {
            return "deadline";
        }
        if (waitingRequestCount() >= mSettings.maxQueued()
                || mQueue.size(request.mFlow.team()) >= mSettings.maxQueuedPerTeam()) {
            return "queue_full";
        }
        return mWaitEstimate.willMissDeadline(request.mFlow, remainingMicros, mHeldConnections)
                ? "overloaded"
                : null;
    }

    private void claimAnswered(RoutingEvent.ClaimAnswered event, long nowMicros) {
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
                if (request.mDeadlineMicros <= nowMicros) {
                    reject(request, "deadline");
                } else if (mTargetSelector.isUsable(request.mTarget, nowMicros)) {
                    dispatch(request, nowMicros);
                } else {
                    requeue(request);
                }
            }
            case ALREADY_CLAIMED -> {
                // The holder of the claim may have executed the request.
                request.mMayHaveRun = true;
                reject(request, "already_claimed");
            }
            case UNAVAILABLE -> reject(request, "claim_unavailable");
        }
    }

    private void attemptEnded(RoutingEvent.AttemptEnded event, long nowMicros) {
        RoutedRequest request = mRequests.get(event.request());
        if (request == null
                || request.mPhase != RoutedRequest.Phase.IN_FLIGHT
                || request.mAttempt != event.attempt()) {
            return;
        }
        TargetHealth health = request.mTarget.mHealth;
        switch (event.outcome()) {
            case WHOLE, FAILED_WHOLE -> {
                recordAnswer(request, event.outcome() == AttemptOutcome.FAILED_WHOLE, nowMicros);
                remove(request);
                mActions.add(new RoutingAction.RequestFinished(request.mId, event.attempt()));
            }
            case REFUSED_NOT_RUN -> {
                health.recordRefusal(nowMicros);
                retryRefused(request);
            }
            case REFUSED_DRAINING -> {
                health.recordDraining(nowMicros);
                retryRefused(request);
            }
            case NOT_SENT -> {
                health.recordFailure(mTargetSelector.mayEject(), nowMicros);
                retryNotSent(request, nowMicros);
            }
            case BROKEN -> {
                health.recordFailure(mTargetSelector.mayEject(), nowMicros);
                retryBroken(request);
            }
        }
    }

    private void recordAnswer(RoutedRequest request, boolean error, long nowMicros) {
        mErrorRate += ERROR_SAMPLE_WEIGHT * ((error ? 1 : 0) - mErrorRate);
        boolean mayEject = mErrorRate < MAX_EJECTING_ERROR_RATE && mTargetSelector.mayEject();
        request.mTarget.mHealth.recordAnswer(error, mayEject, nowMicros);
        // Error answers are often immediate and would make the service time look too short.
        if (!error) {
            mServiceTimes.record(request.mFlow, nowMicros - request.mDispatchedMicros, nowMicros);
        }
    }

    /**
     * Queues a refused request again, without using the retry budget.
     *
     * <p>A refusal is cheap for the target and pauses it, so that the pauses alone limit the total
     * number of attempts.
     */
    private void retryRefused(RoutedRequest request) {
        if (request.mCallerDisconnected) {
            request.mPhase = RoutedRequest.Phase.WAITING;
            reject(request, "caller_gone");
        } else {
            requeue(request);
        }
    }

    /**
     * Retries immediately within the retry budget and after a back-off beyond it; nothing was sent.
     */
    private void retryNotSent(RoutedRequest request, long nowMicros) {
        if (request.mCallerDisconnected) {
            request.mPhase = RoutedRequest.Phase.WAITING;
            reject(request, "caller_gone");
        } else if (retryBudget(request).tryWithdraw()) {
            requeue(request);
        } else {
            releaseConnection(request);
            request.mPhase = RoutedRequest.Phase.DELAYED;
            request.mRetryAtMicros = nowMicros + Backoff.pauseMicros(request.mAttempt, mRandom);
            mDelayed.add(request);
        }
    }

    private void retryBroken(RoutedRequest request) {
        request.mMayHaveRun = true;
        if (request.mRepeatable && retryBudget(request).tryWithdraw()) {
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

    private void callerDisconnected(RoutingEvent.CallerDisconnected event, long nowMicros) {
        RoutedRequest request = mRequests.get(event.request());
        if (request == null) {
            return;
        }
        request.mCallerDisconnected = true;
        // Non-repeatable requests in flight are completed, so that their outcome is known.
        if (request.mPhase != RoutedRequest.Phase.IN_FLIGHT || request.mRepeatable) {
            recordAborted(request, nowMicros);
            reject(request, "caller_gone");
        }
    }

    private void rejectExpired(long nowMicros) {
        while (!mByDeadline.isEmpty() && mByDeadline.first().mDeadlineMicros <= nowMicros) {
            RoutedRequest request = mByDeadline.first();
            // Missed deadlines are the only sign of a target that never answers.
            if (mOverdueAttempts.isOverdue(request, nowMicros)) {
                request.mTarget.mHealth.recordFailure(mTargetSelector.mayEject(), nowMicros);
            }
            recordAborted(request, nowMicros);
            reject(request, "deadline");
        }
    }

    private void recordAborted(RoutedRequest request, long nowMicros) {
        if (request.mPhase == RoutedRequest.Phase.IN_FLIGHT) {
            mServiceTimes.recordAborted(
                    request.mFlow, nowMicros - request.mDispatchedMicros, nowMicros);
        }
    }

    private void requeueDelayed(long nowMicros) {
        while (!mDelayed.isEmpty() && mDelayed.first().mRetryAtMicros <= nowMicros) {
            requeue(mDelayed.pollFirst());
        }
    }

    private void dispatchWaiting(long nowMicros) {
        Set<Flow> blocked = new HashSet<>();
        while (mQueue.size() > 0) {
            Flow flow = mQueue.nextFlow(f -> !blocked.contains(f) && hasToken(f, nowMicros));
            if (flow == null) {
                return;
            }
            RoutedRequest request = mQueue.peek(flow);
            if (mWaitEstimate.isServiceTimeTooLong(flow, request.mDeadlineMicros - nowMicros)) {
                reject(request, "deadline_too_near");
                continue;
            }
            TargetState target = selectTarget(request, nowMicros);
            if (target == null) {
                blocked.add(flow);
            } else {
                mStartRates.recordStart(flow);
                mQueue.poll(flow, mServiceTimes.meanMicros(flow));
                reserveConnection(request, target, nowMicros);
            }
        }
    }

    /**
     * Rejects waiting requests that will miss their deadlines because targets failed or slowed
     * down.
     */
    private void shedWaiting(long nowMicros) {
        if (nowMicros - mLastShedMicros < SHED_INTERVAL_MICROS) {
            return;
        }
        mLastShedMicros = nowMicros;
        for (Flow flow : mQueue.waitingFlows()) {
            int requestsAhead = 0;
            for (RoutedRequest request : mQueue.waitingRequests(flow)) {
                long remainingMicros = request.mDeadlineMicros - nowMicros;
                if (mWaitEstimate.willMissDeadlineWhileWaiting(
                        flow, requestsAhead, remainingMicros, mHeldConnections)) {
                    reject(request, "overloaded");
                } else {
                    requestsAhead++;
                }
            }
        }
    }

    private boolean hasToken(Flow flow, long nowMicros) {
        return mQueue.peek(flow).mTookToken || mRateLimits.hasToken(flow, nowMicros);
    }

    private TargetState selectTarget(RoutedRequest request, long nowMicros) {
        long reservedSlotsWaitMicros =
                (request.mDeadlineMicros - request.mArrivedMicros) / RESERVED_SLOTS_WAIT_DIVISOR;
        return mTargetSelector.select(
                request,
                mServiceTimes.isLong(request.mFlow, nowMicros),
                nowMicros - request.mArrivedMicros > reservedSlotsWaitMicros
                        && areShortRequestsInMajority(),
                mWaitEstimate.exceedsRegionRoundTrip(request.mFlow, mHeldConnections),
                nowMicros);
    }

    /** Returns whether long requests hold less than half of the connections in use. */
    private boolean areShortRequestsInMajority() {
        return 2 * mHeldByLongRequests < mHeldConnections;
    }

    /** Reserves a connection to the target, then dispatches the request or starts its claim. */
    private void reserveConnection(RoutedRequest request, TargetState target, long nowMicros) {
        request.mTarget = target;
        mHeldConnections++;
        if (mServiceTimes.isLong(request.mFlow, nowMicros)) {
            request.mCountedAsLong = true;
            mHeldByLongRequests++;
        }
        target.addRequest(request, nowMicros);
        if (!request.mTookToken) {
            request.mTookToken = true;
            mRateLimits.takeToken(request.mFlow, nowMicros);
        }
        if (request.mRepeatable || request.mHoldsClaim) {
            dispatch(request, nowMicros);
        } else {
            request.mPhase = RoutedRequest.Phase.CLAIMING;
            mActions.add(new RoutingAction.StartClaim(request.mId));
        }
    }

    private void dispatch(RoutedRequest request, long nowMicros) {
        request.mPhase = RoutedRequest.Phase.IN_FLIGHT;
        request.mAttempt++;
        request.mDispatchedMicros = nowMicros;
        TargetId target = request.mTarget.mInfo.id();
        if (request.mLinkCharge != null) {
            mLinkBudget.recordDispatch(request.mId, request.mAttempt, request.mLinkCharge);
            request.mLinkCharge = null;
        }
        mActions.add(new RoutingAction.Dispatch(request.mId, request.mAttempt, target));
    }

    private void tableChanged(OperatorTable table, long nowMicros) {
        Map<Flow, Integer> weights = new HashMap<>();
        for (TableRow row : table.rows()) {
            if (row.work() == WorkClass.REQUEST && row.region().equals(mSettings.region())) {
                weights.put(new Flow(row.team(), row.kind()), row.weight());
            }
        }
        mQueue.setWeights(weights);
        mRateLimits.setLimits(TableLimits.of(table), nowMicros);
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

    /** Releases the connection that the request holds, if any. */
    private void releaseConnection(RoutedRequest request) {
        if (request.mTarget != null) {
            request.mLastTarget = request.mTarget.mInfo.id();
            request.mTarget.removeRequest(request, mNowMicros);
            request.mTarget = null;
            if (request.mLinkCharge != null) {
                mLinkBudget.refund(request.mLinkCharge);
                request.mLinkCharge = null;
            }
            mHeldConnections--;
            if (request.mCountedAsLong) {
                request.mCountedAsLong = false;
                mHeldByLongRequests--;
            }
        }
    }

    private static NavigableSet<RoutedRequest> orderedBy(ToLongFunction<RoutedRequest> key) {
        return new TreeSet<>(Comparator.comparingLong(key).thenComparingLong(r -> r.mSequence));
    }
}
