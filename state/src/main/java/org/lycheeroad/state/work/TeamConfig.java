package org.lycheeroad.state.work;

import java.util.List;
import org.lycheeroad.state.id.TeamId;

/**
 * The configuration of a team.
 *
 * @param guaranteedAccelerators the number of accelerators that are always available to the team's
 *     urgent jobs
 */
public record TeamConfig(TeamId name, List<String> apiKeys, int guaranteedAccelerators) {
    public TeamConfig {
        apiKeys = List.copyOf(apiKeys);
    }
}
