package org.lycheeroad.state.work;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.state.id.TeamId;

/** A version of the cluster configuration that operators maintain. */
public final class ClusterConfig {
    private final long mVersion;
    private final List<QueueConfig> mQueues;
    private final Map<QueueName, QueueConfig> mQueuesByName = new HashMap<>();
    private final Map<TeamId, TeamConfig> mTeamsByName = new HashMap<>();
    private final Map<String, TeamId> mTeamsByApiKey = new HashMap<>();

    public ClusterConfig(long version, List<QueueConfig> queues, List<TeamConfig> teams) {
        mVersion = version;
        mQueues = List.copyOf(queues);
        mQueues.forEach(q -> mQueuesByName.put(q.name(), q));
        for (TeamConfig team : teams) {
            mTeamsByName.put(team.name(), team);
            team.apiKeys().forEach(key -> mTeamsByApiKey.put(key, team.name()));
        }
    }

    /** Returns the version, which increases with each change. */
    public long version() {
        return mVersion;
    }

    /** Returns all queues. */
    public List<QueueConfig> queues() {
        return mQueues;
    }

    /** Returns a queue by its name. */
    public Optional<QueueConfig> queue(QueueName name) {
        return Optional.ofNullable(mQueuesByName.get(name));
    }

    /** Returns the queue of a host whose path prefix is the longest match for a path. */
    public Optional<QueueConfig> queueFor(String host, String path) {
        QueueConfig best = null;
        for (QueueConfig queue : mQueues) {
            if (queue.host().equalsIgnoreCase(host)
                    && path.startsWith(queue.pathPrefix())
                    && (best == null || queue.pathPrefix().length() > best.pathPrefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the team to which an API key belongs. */
    public Optional<TeamId> teamOf(String apiKey) {
        return Optional.ofNullable(mTeamsByApiKey.get(apiKey));
    }

    /** Returns the number of accelerators guaranteed to a team, or 0 if it has no guarantee. */
    public int guaranteedAccelerators(TeamId team) {
        TeamConfig config = mTeamsByName.get(team);
        return config == null ? 0 : config.guaranteedAccelerators();
    }
}
