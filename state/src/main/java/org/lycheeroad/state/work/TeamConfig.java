package org.lycheeroad.state.work;

import java.util.List;
import org.lycheeroad.state.id.TeamId;

/**
 * The configuration of a team.
 *
 * @param guaranteedAccelerators accelerators that are the team's for its urgent jobs at all times
 */
public record TeamConfig(TeamId name, List<String> apiKeys, int guaranteedAccelerators) {
    public TeamConfig {
        apiKeys = List.copyOf(apiKeys);
    }
}
