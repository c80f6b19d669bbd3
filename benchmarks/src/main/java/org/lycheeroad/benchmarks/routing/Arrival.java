package org.lycheeroad.benchmarks.routing;

import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TeamId;

/**
 * A request of the simulated load.
 *
 * @param serviceMicros the time that a target without faults takes to process the request
 */
record Arrival(
        long atMicros,
        int entry,
        RequestId request,
        TeamId team,
        KindId kind,
        long serviceMicros,
        long deadlineMicros) {}
