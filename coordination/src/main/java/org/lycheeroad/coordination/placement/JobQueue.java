package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;

/** Queues of waiting gangs per team: urgent gangs first, then in order of arrival. */
final class JobQueue {
    private static final class TeamQueue {
        final Map<JobId, Gang> mUrgent = new LinkedHashMap<>();
        final Map<JobId, Gang> mOrdinary = new LinkedHashMap<>();

        Map<JobId, Gang> queueFor(Gang gang) {
            return gang.mSpec.urgent() ? mUrgent : mOrdinary;
        }
    }

    private final Map<TeamId, TeamQueue> mQueues = new TreeMap<>();

    void add(Gang gang) {
        mQueues.computeIfAbsent(gang.mSpec.team(), t -> new TeamQueue())
                .queueFor(gang)
                .put(gang.id(), gang);
    }

    void remove(Gang gang) {
        TeamQueue queue = mQueues.get(gang.mSpec.team());
        if (queue != null) {
            queue.queueFor(gang).remove(gang.id());
            if (queue.mUrgent.isEmpty() && queue.mOrdinary.isEmpty()) {
                mQueues.remove(gang.mSpec.team());
            }
        }
    }

    /** Returns the teams with waiting gangs. */
    List<TeamId> teams() {
        return List.copyOf(mQueues.keySet());
    }

    /** Returns at most {@code limit} waiting gangs of a team, first in the queue first. */
    List<Gang> firstGangs(TeamId team, int limit) {
        TeamQueue queue = mQueues.get(team);
        List<Gang> gangs = new ArrayList<>();
        if (queue != null) {
            addFirst(queue.mUrgent.values(), limit, gangs);
            addFirst(queue.mOrdinary.values(), limit, gangs);
        }
        return gangs;
    }

    void clear() {
        mQueues.clear();
    }

    private static void addFirst(Collection<Gang> from, int limit, List<Gang> to) {
        for (Gang gang : from) {
            if (to.size() >= limit) {
                return;
            }
            to.add(gang);
        }
    }
}
