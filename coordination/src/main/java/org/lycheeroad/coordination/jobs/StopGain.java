package org.lycheeroad.coordination.jobs;

/** Computes what a step's caller gains if runs are stopped for it. */
final class StopGain {
    /** The wait for room that no running task will leave. */
    static final long NEVER_MS = Long.MAX_VALUE;

    private final ClusterState mState;
    private final EndUtility mUtility;

    StopGain(ClusterState state, EndUtility utility) {
        mState = state;
        mUtility = utility;
    }

    /**
     * Returns the gain in weighted core-milliseconds; nothing if room comes in time by itself.
     *
     * @param waitMs the time until running tasks leave enough room, or {@link #NEVER_MS}
     * @param stopMs the time from a stop to the start that it allows
     */
    double of(StepInstance step, long waitMs, long stopMs, long nowMs, long wallMs) {
        long durationMs = step.expectedMs(mState.durationEstimator);
        double stopped = mUtility.of(step, nowMs + stopMs + durationMs, nowMs, wallMs);
        double waited =
                waitMs == NEVER_MS
                        ? 0
                        : mUtility.of(step, nowMs + waitMs + durationMs, nowMs, wallMs);
        return PriorityWeights.weightOf(step.job.queue.priority())
                * step.plan.count()
                * LostWork.coreEquivalents(step.plan.reservedResources())
                * durationMs
                * Math.max(0, stopped - waited);
    }
}
