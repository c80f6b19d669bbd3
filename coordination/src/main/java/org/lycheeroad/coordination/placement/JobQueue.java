package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;

/** The waiting gangs of each team, urgent ones first, otherwise in order of arrival. */
final class JobQueue {
    private static final class TeamQueue {
        final Map<JobId, Gang> mUrgent = new LinkedHashMap<>();
        final Map<JobId, Gang> mOrdinary = new LinkedHashMap<>();

        Map<JobId, Gang> of(Gang gang) {
            return gang.mSpec.urgent() ? mUrgent : mOrdinary;
        }
    }

    private final Map<TeamId, TeamQueue> mTeams = new TreeMap<>();

    void add(Gang gang) {
        mTeams.computeIfAbsent(gang.mSpec.team(), t -> new TeamQueue())
                .of(gang)
                .put(gang.id(), gang);
    }

    void remove(Gang gang) {
        TeamQueue lanes = mTeams.get(gang.mSpec.team());
        if (lanes != null) {
            lanes.of(gang).remove(gang.id());
            if (lanes.mUrgent.isEmpty() && lanes.mOrdinary.isEmpty()) {
                mTeams.remove(gang.mSpec.team());
            }
        }
    }

    /** Returns the teams with waiting gangs. */
    List<TeamId> teams() {
        return List.copyOf(mTeams.keySet());
    }

    /** Returns the first waiting gangs of a team. */
    List<Gang> first(TeamId team, int limit) {
        TeamQueue lanes = mTeams.get(team);
        List<Gang> gangs = new ArrayList<>();
        if (lanes != null) {
            addFirst(lanes.mUrgent.values(), limit, gangs);
            addFirst(lanes.mOrdinary.values(), limit, gangs);
        }
        return gangs;
    }

    void clear() {
        mTeams.clear();
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
