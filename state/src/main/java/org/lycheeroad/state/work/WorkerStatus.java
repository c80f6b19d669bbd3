package org.lycheeroad.state.work;

import java.util.Set;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.topology.HostPort;

/**
 * What a worker reports of itself.
 *
 * @param incarnationStartMs when this incarnation started, in milliseconds since 1970
 * @param draining whether the worker is about to leave
 * @param remainingMs the least time until a draining worker leaves, in milliseconds
 */
public record WorkerStatus(
        WorkerId id,
        long incarnationStartMs,
        HostPort address,
        ServiceName service,
        boolean draining,
        long remainingMs,
        Resources capacity,
        Set<String> labels,
        RackId rack) {
    public WorkerStatus {
        labels = Set.copyOf(labels);
    }
}
