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

/** An input of {@link RequestRouter}. */
public sealed interface RoutingEvent {
    /** A caller sent a request; the deadline is on the router's monotonic clock. */
    record RequestArrived(
            RequestId request, TeamId team, KindId kind, boolean repeatable, long deadlineMicros)
            implements RoutingEvent {}

    /** The store answered a claim. */
    record ClaimAnswered(RequestId request, ClaimResult result) implements RoutingEvent {}

    /** An attempt at a target ended. */
    record AttemptEnded(RequestId request, int attempt, AttemptOutcome outcome)
            implements RoutingEvent {}

    /**
     * An attempt in another region has ended; comes for each one, also after its request has ended.
     *
     * @param sent the bytes sent over the link
     * @param received the bytes received over it
     * @param whole whether a whole answer came
     */
    record LinkBytesCounted(
            RequestId request, int attempt, long sentBytes, long receivedBytes, boolean complete)
            implements RoutingEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected(RequestId request) implements RoutingEvent {}

    /** The list of targets changed. */
    record TargetsChanged(List<TargetInfo> targets) implements RoutingEvent {}

    /** A peer reported its requests in flight. */
    record PeerLoadReported(EntryId entry, Map<TargetId, Integer> inFlight)
            implements RoutingEvent {}

    /** A newer operators' table is in force. */
    record TableChanged(OperatorTable table) implements RoutingEvent {}

    /** This entry's share of a limit changed, in its unit per second. */
    record ShareChanged(TeamId team, KindId kind, double ratePerSecond) implements RoutingEvent {}

    /** This entry shuts down: new requests are rejected, the ones in flight end. */
    record DrainStarted() implements RoutingEvent {}

    /** Time passed. */
    record Tick() implements RoutingEvent {}
}
