package org.lycheeroad.coordination.routing;

import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;

/** An action that {@link RequestRouter} requests. */
public sealed interface RoutingAction {
    /** Claim a non-repeatable request in the store. */
    record StartClaim(RequestId request) implements RoutingAction {}

    /** Release a claim, because the request was not executed and the caller may repeat it. */
    record ReleaseClaim(RequestId request) implements RoutingAction {}

    /** Send the request to a target. */
    record Dispatch(RequestId request, int attempt, TargetId target) implements RoutingAction {}

    /** Abort an attempt and close its connection. */
    record AbortAttempt(RequestId request, int attempt) implements RoutingAction {}

    /** End the request without an answer of a target. This is a final action. */
    record Reject(RequestId request, RequestOutcome outcome, String reason)
            implements RoutingAction {}

    /** Forward the answer of an attempt to the caller. This is a final action. */
    record RequestFinished(RequestId request, int attempt) implements RoutingAction {}
}
