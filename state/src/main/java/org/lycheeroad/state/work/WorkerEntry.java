package org.lycheeroad.state.work;

import java.util.Set;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.topology.HostPort;

/**
 * What a worker reports of itself.
 *
 * @param bornMs when this incarnation started, in milliseconds since 1970
 * @param draining whether the worker is about to leave
 * @param remainingMs the least time until a draining worker leaves, in milliseconds
 */
public record WorkerEntry(
        WorkerId id,
        long bornMs,
        HostPort address,
        ServiceName service,
        boolean draining,
        long remainingMs,
        Resources capacity,
        Set<String> labels,
        RackId rack) {
    public WorkerEntry {
        labels = Set.copyOf(labels);
    }
}
