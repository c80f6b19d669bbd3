package org.lycheeroad.coordination.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.shape.Shape;

/** Finds jobs that no set of listed workers can hold or that exceed their team's limit. */
final class InfeasibleJobs {
    private static final String NO_WORKERS = "no set of workers in the region has this shape";
    private static final String ABOVE_LIMIT = "the shape is larger than the team's limit";

    private final TopologyIndex mTopology;
    private final TeamShares mShares;
    private final long mReplacementWaitMs;
    private final Map<JobId, Long> mInfeasibleSinceMs = new HashMap<>();

    /** Waits so many milliseconds for workers that have left the list, as VMs are replaced. */
    InfeasibleJobs(TopologyIndex topology, TeamShares shares, long patienceMs) {
        mTopology = topology;
        mShares = shares;
        mReplacementWaitMs = patienceMs;
    }

    /** Returns why a new job cannot run, or null. */
    String infeasibilityReason(JobSpec spec) {
        if (isInfeasible(spec.shape())) {
            return NO_WORKERS;
        }
        return spec.shape().accelerators() > mShares.limit(spec) ? ABOVE_LIMIT : null;
    }

    /** Returns which of the waiting gangs must end now, each with the reason. */
    Map<Gang, String> findExpired(Iterable<Gang> gangs, long now) {
        Map<Gang, String> ended = new LinkedHashMap<>();
        Map<Shape, Boolean> missing = new HashMap<>();
        Map<JobId, Long> since = new HashMap<>();
        for (Gang gang : gangs) {
            Shape shape = gang.mSpec.shape();
            if (gang.isPlaced()) {
                continue;
            }
            if (shape.accelerators() > mShares.limit(gang.mSpec)) {
                ended.put(gang, ABOVE_LIMIT);
            } else if (missing.computeIfAbsent(shape, this::isInfeasible)) {
                long from = mInfeasibleSinceMs.getOrDefault(gang.id(), now);
                if (now - from >= mReplacementWaitMs) {
                    ended.put(gang, NO_WORKERS);
                } else {
                    since.put(gang.id(), from);
                }
            }
        }
        mInfeasibleSinceMs.clear();
        mInfeasibleSinceMs.putAll(since);
        return ended;
    }

    /** Returns whether some gang waits for workers that are not listed. */
    boolean hasWaitingGangs() {
        return !mInfeasibleSinceMs.isEmpty();
    }

    void clear() {
        mInfeasibleSinceMs.clear();
    }

    /** An empty list says nothing, as the list may not have been read yet. */
    private boolean isInfeasible(Shape shape) {
        return !mTopology.listedWorkers().isEmpty() && !mTopology.canHold(shape);
    }
}
