package org.lycheeroad.coordination.configcheck;

import java.util.List;
import java.util.Set;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.TeamConfig;

/**
 * A configuration as its author wrote it, in that order and with repeated entries.
 *
 * @param services the services that the configuration declares
 */
public record ConfigDraft(
        long version, List<QueueConfig> queues, List<TeamConfig> teams, Set<ServiceName> services) {
    public ConfigDraft {
        queues = List.copyOf(queues);
        teams = List.copyOf(teams);
        services = Set.copyOf(services);
    }
}
