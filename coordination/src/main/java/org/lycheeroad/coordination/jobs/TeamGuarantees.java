package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.StepPlan;

/** Tells which jobs are within their teams' guarantees. All other jobs borrow what is idle. */
final class TeamGuarantees {
    /** The same for every owner, so that a takeover does not change which jobs are guaranteed. */
    private static final Comparator<Job> OLDEST_FIRST =
            Comparator.comparingLong((Job job) -> job.record.acceptedAtMs())
                    .thenComparing(job -> job.id);

    private TeamGuarantees() {}

    /**
     * Returns the urgent jobs within their teams' guarantees. Older jobs are counted first, and a
     * job that does not fit is left out.
     */
    static Set<Job> guaranteedJobs(ClusterState state) {
        List<Job> urgent = new ArrayList<>();
        for (Job job : state.activeJobs.values()) {
            if (isUrgent(job)) {
                urgent.add(job);
            }
        }
        urgent.sort(OLDEST_FIRST);
        Map<TeamId, Integer> used = new HashMap<>();
        Set<Job> guaranteed = new HashSet<>();
        for (Job job : urgent) {
            TeamId team = job.record.team();
            int total = used.getOrDefault(team, 0) + maxAccelerators(job);
            if (total <= state.config.guaranteedAccelerators(team)) {
                used.put(team, total);
                guaranteed.add(job);
            }
        }
        return guaranteed;
    }

    /**
     * Returns whether a guaranteed job may take resources back from another job: from any of lower
     * priority, and from urgent jobs of other teams that are beyond their guarantees.
     */
    static boolean mayReclaimFrom(Job borrower, Job owner, Set<Job> guaranteed) {
        if (!isUrgent(borrower)) {
            return true;
        }
        return !guaranteed.contains(borrower)
                && !borrower.record.team().equals(owner.record.team());
    }

    private static boolean isUrgent(Job job) {
        return job.queue.priority() == 0;
    }

    /** Returns the largest number of accelerators that a step of a job needs. */
    private static int maxAccelerators(Job job) {
        int max = 0;
        for (StepPlan step : job.record.plan().steps()) {
            max = Math.max(max, step.count() * step.need().accelerators());
        }
        return max;
    }
}
