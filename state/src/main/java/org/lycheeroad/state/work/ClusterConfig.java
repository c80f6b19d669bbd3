package org.lycheeroad.state.work;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.state.id.TeamId;

/** One version of the operators' configuration. */
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

    /** Returns the version, which grows with each change. */
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

    /** Returns the queue with the longest prefix of a path. */
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

    /** Returns the team that holds an API key. */
    public Optional<TeamId> teamOf(String apiKey) {
        return Optional.ofNullable(mTeamsByApiKey.get(apiKey));
    }

    /** Returns the accelerators guaranteed to a team; 0 for a team without a guarantee. */
    public int guaranteedAccelerators(TeamId team) {
        TeamConfig config = mTeamsByName.get(team);
        return config == null ? 0 : config.guaranteedAccelerators();
    }
}
