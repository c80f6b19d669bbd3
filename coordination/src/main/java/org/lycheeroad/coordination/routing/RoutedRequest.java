package org.lycheeroad.coordination.routing;

import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;

/** The state of a request until its final action. */
final class RoutedRequest {
    /** The phases of a request. */
    enum Phase {
        /** In the fair queue. */
        WAITING,
        /** Waits for the end of a retry back-off. */
        DELAYED,
        /** Holds a connection while the store processes its claim. */
        CLAIMING,
        /** Sent to its target. */
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

    /**
     * Whether an attempt may have been executed: bytes may have been sent, and it was not refused.
     */
    boolean mMayHaveRun;

    /** Whether the request has taken a token of its rate limit. */
    boolean mTookToken;

    /** Whether the request holds a connection and is counted as long. */
    boolean mCountedAsLong;

    boolean mCallerDisconnected;

    /** Whether the request has been counted as demand for the link between regions. */
    boolean mCountedAsLinkDemand;

    /** The charge to the link budget for an attempt not dispatched yet, or null. */
    LinkBudget.LinkCharge mLinkCharge;

    int mAttempt;
    long mArrivedMicros;
    long mDispatchedMicros;
    long mRetryAtMicros;

    /** The target at which the request holds a connection, or null. */
    TargetState mTarget;

    /** The target of the last attempt, which is tried again only if no other local one is free. */
    TargetId mLastTarget;

    RoutedRequest(RoutingEvent.RequestArrived arrived, long sequence, long nowMicros) {
        mArrivedMicros = nowMicros;
        mId = arrived.request();
        mFlow = new Flow(arrived.team(), arrived.kind());
        mRepeatable = arrived.repeatable();
        mDeadlineMicros = arrived.deadlineMicros();
        mSequence = sequence;
    }

    /** Returns the outcome to report if the request ends now, without an answer. */
    RequestOutcome outcomeWithoutAnswer() {
        return mMayHaveRun || mPhase == Phase.IN_FLIGHT
                ? RequestOutcome.UNKNOWN
                : RequestOutcome.NOT_RUN;
    }
}
