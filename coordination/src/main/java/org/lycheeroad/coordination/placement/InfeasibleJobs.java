package org.lycheeroad.coordination.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.shape.Shape;

/** Finds jobs whose shape no set of listed workers can hold or exceeds the team's limit. */
final class InfeasibleJobs {
    private static final String NO_WORKERS = "no set of workers in the region has this shape";
    private static final String ABOVE_LIMIT = "the shape is larger than the team's limit";

    private final TopologyIndex mTopology;
    private final TeamShares mShares;
    private final long mReplacementWaitMs;
    private final Map<JobId, Long> mInfeasibleSinceMs = new HashMap<>();

    /**
     * Creates a check against the listed workers and the limits of the teams.
     *
     * @param replacementWaitMs how long a waiting job outlasts the loss of the workers it needs;
     *     VMs leave the list while they are replaced
     */
    InfeasibleJobs(TopologyIndex topology, TeamShares shares, long replacementWaitMs) {
        mTopology = topology;
        mShares = shares;
        mReplacementWaitMs = replacementWaitMs;
    }

    /** Returns why a new job can never run, or null if it can. */
    String infeasibilityReason(JobSpec spec) {
        if (exceedsListedWorkers(spec.shape())) {
            return NO_WORKERS;
        }
        return spec.shape().accelerators() > mShares.limit(spec) ? ABOVE_LIMIT : null;
    }

    /**
     * Returns the waiting gangs that must end, each with the reason.
     *
     * <p>A gang above its team's limit ends at once, a gang whose workers are gone after the wait
     * for their replacement.
     */
    Map<Gang, String> findExpired(Iterable<Gang> gangs, long nowMs) {
        Map<Gang, String> expired = new LinkedHashMap<>();
        Map<Shape, Boolean> infeasibleShapes = new HashMap<>();
        Map<JobId, Long> infeasibleSinceMs = new HashMap<>();
        for (Gang gang : gangs) {
            Shape shape = gang.mSpec.shape();
            if (gang.isPlaced()) {
                continue;
            }
            if (shape.accelerators() > mShares.limit(gang.mSpec)) {
                expired.put(gang, ABOVE_LIMIT);
            } else if (infeasibleShapes.computeIfAbsent(shape, this::exceedsListedWorkers)) {
                long sinceMs = mInfeasibleSinceMs.getOrDefault(gang.id(), nowMs);
                if (nowMs - sinceMs >= mReplacementWaitMs) {
                    expired.put(gang, NO_WORKERS);
                } else {
                    infeasibleSinceMs.put(gang.id(), sinceMs);
                }
            }
        }
        mInfeasibleSinceMs.clear();
        mInfeasibleSinceMs.putAll(infeasibleSinceMs);
        return expired;
    }

    /** Returns whether any gang waits for the replacement of workers. */
    boolean hasGangsAwaitingWorkers() {
        return !mInfeasibleSinceMs.isEmpty();
    }

    void clear() {
        mInfeasibleSinceMs.clear();
    }

    /** Returns whether no listed workers can hold the shape; unknown until there is a list. */
    private boolean exceedsListedWorkers(Shape shape) {
        return !mTopology.listedWorkers().isEmpty() && !mTopology.canHold(shape);
    }
}
