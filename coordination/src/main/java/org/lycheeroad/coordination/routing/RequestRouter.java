package org.lycheeroad.coordination.routing;

import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.TargetId;

/** Decides when and to which targets requests are sent; a state machine without I/O or clock. */
public interface RequestRouter {
    /**
     * Applies one event.
     *
     * @param nowMicros the monotonic time in microseconds, which must not decrease between calls
     * @return the actions to execute, in order
     */
    List<RoutingAction> handle(RoutingEvent event, long nowMicros);

    /**
     * Returns the load at each target that has any, and starts the next reporting period. Must be
     * called once per report to the other entries.
     *
     * @param nowMicros as for {@link #handle}
     */
    Map<TargetId, Integer> takeLoadReport(long nowMicros);

    /**
     * Returns the bytes that requests wanted to transfer over the link between regions since the
     * last call, in the busier direction, whether or not they were admitted.
     */
    default double takeLinkDemandBytes() {
        return 0;
    }

    /**
     * Returns the number of requests without a final action. If there are none, {@link
     * RoutingEvent.Tick} has no effect.
     */
    int openRequestCount();
}
