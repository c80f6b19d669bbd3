package org.lycheeroad.coordination.routing;

import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;

/** An output of {@link RequestRouter}. */
public sealed interface RoutingAction {
    /** Claim a not repeatable request in the store. */
    record StartClaim(RequestId request) implements RoutingAction {}

    /** Give back a claim, as the request did not run and the caller may repeat it. */
    record ReleaseClaim(RequestId request) implements RoutingAction {}

    /** Send the request to a target. */
    record Dispatch(RequestId request, int attempt, TargetId target) implements RoutingAction {}

    /** Give up an attempt and close its connection. */
    record AbortAttempt(RequestId request, int attempt) implements RoutingAction {}

    /** Answer the caller without a target's answer. */
    record Reject(RequestId request, RequestOutcome outcome, String reason)
            implements RoutingAction {}

    /** Pass the answer of this attempt to the caller; the router has forgotten the request. */
    record RequestFinished(RequestId request, int attempt) implements RoutingAction {}
}
