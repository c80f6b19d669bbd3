package org.lycheeroad.coordination.routing;

import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.topology.TargetInfo;

/** An input event of {@link RequestRouter}. */
public sealed interface RoutingEvent {
    /** A caller sent a request. The deadline refers to the router's monotonic clock. */
    record RequestArrived(
            RequestId request, TeamId team, KindId kind, boolean repeatable, long deadlineMicros)
            implements RoutingEvent {}

    /** The store answered a claim. */
    record ClaimAnswered(RequestId request, ClaimResult result) implements RoutingEvent {}

    /** An attempt at a target ended. */
    record AttemptEnded(RequestId request, int attempt, AttemptOutcome outcome)
            implements RoutingEvent {}

    /**
     * An attempt at a target in another region ended. Reported for each such attempt, also after
     * its request has ended.
     *
     * @param sentBytes the number of bytes sent over the link between regions
     * @param receivedBytes the number of bytes received over the link
     * @param complete whether a complete answer arrived
     */
    record LinkBytesCounted(
            RequestId request, int attempt, long sentBytes, long receivedBytes, boolean complete)
            implements RoutingEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected(RequestId request) implements RoutingEvent {}

    /** The list of targets changed. */
    record TargetsChanged(List<TargetInfo> targets) implements RoutingEvent {}

    /** Another entry reported its load at each target. */
    record PeerLoadReported(EntryId entry, Map<TargetId, Integer> inFlight)
            implements RoutingEvent {}

    /** A new version of the operators' table took effect. */
    record TableChanged(OperatorTable table) implements RoutingEvent {}

    /** This entry's share of a limit changed; the rate is in requests, or bytes for the link. */
    record ShareChanged(TeamId team, KindId kind, double ratePerSecond) implements RoutingEvent {}

    /** This entry is shutting down: new requests are rejected, accepted ones are finished. */
    record DrainStarted() implements RoutingEvent {}

    /** Time passed. */
    record Tick() implements RoutingEvent {}
}
