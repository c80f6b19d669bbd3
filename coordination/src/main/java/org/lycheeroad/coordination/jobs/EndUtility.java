package org.lycheeroad.coordination.jobs;

/** Tells how useful the end of a job is to its caller, from 0 to 1. */
final class EndUtility {
    /** How useful a late end is in relation to one in time. */
    private static final double LATE = 1.0 / 3;

    private final ClusterState mState;
    private final SchedulingOrder mOrder;

    EndUtility(ClusterState state, SchedulingOrder order) {
        mState = state;
        mOrder = order;
    }

    /** Returns the utility for a step's job if the step ends at a time. */
    double of(StepInstance step, long stepEndMs, long nowMs, long wallMs) {
        if (step.plan.longRunning()) {
            return 1;
        }
        long endMs = stepEndMs + laterStepsMs(step);
        if (endMs <= mOrder.objectiveEndMs(step, nowMs, wallMs)) {
            return 1;
        }
        return endMs <= mOrder.lastUsefulEndMs(step, nowMs, wallMs) ? LATE : 0;
    }

    private long laterStepsMs(StepInstance step) {
        long restMs = step.job.remainingCriticalPathMs(step.occurrence, mState.durationEstimator);
        return Math.max(0, restMs - step.expectedMs(mState.durationEstimator));
    }
}
