package org.lycheeroad.coordination.routing;

import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;

/** A request that has not had its final action yet. */
final class RoutedRequest {
    /** Where a request stands; it is always in exactly one of these. */
    enum Phase {
        WAITING,
        /** Waits for the end of a back-off. */
        DELAYED,
        CLAIMING,
        IN_FLIGHT
    }

    final RequestId mId;
    final Flow mFlow;
    final boolean mRepeatable;
    final long mDeadlineMicros;
    final long mSequence;

    Phase mPhase = Phase.WAITING;
    boolean mHoldsClaim;
    boolean mClaimAnswered;

    /** Set once bytes of an attempt were or may have been sent and it was not refused. */
    boolean mMayHaveRun;

    /** Set once the request has used up a token of its limit. */
    boolean mTookToken;

    /** Set while the request holds a connection and counts as long work. */
    boolean mCountedAsLong;

    boolean mCallerDisconnected;

    /** Set once the request has counted as demand for the link between regions. */
    boolean mCountedAsLinkDemand;

    /** What the link was charged for the attempt that is not dispatched yet, or null. */
    LinkBudget.LinkCharge mLinkCharge;

    int mAttempt;
    long mArrivedMicros;
    long mDispatchedMicros;
    long mRetryAtMicros;

    /** The target of the attempt in flight, or the one reserved while the claim is made. */
    TargetState mTarget;

    /** The target of the last attempt, which is tried again only if no other one is free. */
    TargetId mLastTarget;

    RoutedRequest(RoutingEvent.RequestArrived arrived, long sequence, long now) {
        mArrivedMicros = now;
        mId = arrived.request();
        mFlow = new Flow(arrived.team(), arrived.kind());
        mRepeatable = arrived.repeatable();
        mDeadlineMicros = arrived.deadlineMicros();
        mSequence = sequence;
    }

    /** Returns the outcome of a request that ends without an answer. */
    RequestOutcome outcomeWithoutAnswer() {
        return mMayHaveRun || mPhase == Phase.IN_FLIGHT
                ? RequestOutcome.UNKNOWN
                : RequestOutcome.NOT_RUN;
    }
}
