package org.lycheeroad.coordination.routing;

import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.TargetId;

/** Decides when and where requests run; a pure state machine without I/O or clock. */
public interface RequestRouter {
    /**
     * Applies one event.
     *
     * @param nowMicros monotonic time in microseconds, never less than in the call before
     * @return the actions to carry out, in order
     */
    List<RoutingAction> handle(RoutingEvent event, long nowMicros);

    /**
     * Returns the load at each target that has any, to be reported to the peers; to be called once
     * per report.
     *
     * @param nowMicros as for {@link #handle}
     */
    Map<TargetId, Integer> takeLoadReport(long nowMicros);

    /**
     * Returns the bytes that requests would have sent over the link between regions since the last
     * call, in its busier direction.
     */
    default double takeLinkDemandBytes() {
        return 0;
    }

    /**
     * Returns the number of requests that have not had their final action; without any, no {@link
     * RoutingEvent.Tick} has an effect.
     */
    int openRequestCount();
}
