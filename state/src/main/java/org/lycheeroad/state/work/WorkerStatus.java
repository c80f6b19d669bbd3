package org.lycheeroad.state.work;

import java.util.Set;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.topology.HostPort;

/**
 * The status that a worker publishes about itself.
 *
 * @param incarnationStartMs the start time of the worker process, in milliseconds since 1970; it
 *     identifies the incarnation of the worker
 * @param draining whether the worker is shutting down
 * @param remainingMs the minimum time until a draining worker stops, in milliseconds
 * @param softwareVersion the version of the worker's software, or an empty string
 * @param failureDomain the failure domain in which the worker runs
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
        RackId rack,
        String softwareVersion,
        FailureDomainId failureDomain) {
    /** The failure domain of workers that do not publish one. */
    private static final FailureDomainId NO_DOMAIN = new FailureDomainId("none");

    public WorkerStatus {
        labels = Set.copyOf(labels);
    }

    /** Creates a status without a software version and a failure domain. */
    public WorkerStatus(
            WorkerId id,
            long incarnationStartMs,
            HostPort address,
            ServiceName service,
            boolean draining,
            long remainingMs,
            Resources capacity,
            Set<String> labels,
            RackId rack) {
        this(
                id,
                incarnationStartMs,
                address,
                service,
                draining,
                remainingMs,
                capacity,
                labels,
                rack,
                "",
                NO_DOMAIN);
    }
}
