package org.lycheeroad.coordination.placement;

import java.util.List;

/** Decides which gangs run on which workers; a state machine without I/O or a clock of its own. */
public interface PlacementCore {
    /**
     * Applies one event.
     *
     * @param nowMs monotonic time in milliseconds, never less than in the previous call
     * @return the actions to carry out, in order
     */
    List<PlacementAction> handle(PlacementEvent event, long nowMs);
}
