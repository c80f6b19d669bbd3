package org.lycheeroad.state.work;

import java.util.List;
import java.util.Optional;

/**
 * What an owner tells other daemons about the load.
 *
 * @param epoch the epoch of the owner
 * @param version counts the summaries of that owner
 * @param ageMs the time since the summary was made, in milliseconds
 * @param services the services that have workers
 */
public record LoadSummary(long epoch, long version, long ageMs, List<ServiceLoad> services) {
    public LoadSummary {
        services = List.copyOf(services);
    }

    /** Returns the load of a service, or empty if it has no workers. */
    public Optional<ServiceLoad> service(ServiceName name) {
        return services.stream().filter(load -> load.service().equals(name)).findFirst();
    }

    /** Returns this summary with another age. */
    public LoadSummary withAge(long newAgeMs) {
        return new LoadSummary(epoch, version, newAgeMs, services);
    }
}
