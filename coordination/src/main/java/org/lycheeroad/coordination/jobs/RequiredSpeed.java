package org.lycheeroad.coordination.jobs;

/**
 * Decides how fast the workers of a step have to be for its job to end in time.
 *
 * <p>A step for which only some workers are fast enough waits for them, as long as it would still
 * end in time there.
 */
final class RequiredSpeed {
    /** The time that a step is assumed to take in relation to its expected duration. */
    private static final double DURATION_RESERVE = 1.1;

    /** From a decision to the start: the record is saved first, then the order is sent. */
    private static final long START_MS = 50;

    /** The part of the fast speed that is required at most, as learned speeds are inexact. */
    private static final double MAX_OF_FAST = 0.85;

    private final ClusterState mState;
    private final SchedulingOrder mOrder;

    RequiredSpeed(ClusterState state, SchedulingOrder order) {
        mState = state;
        mOrder = order;
    }

    /**
     * Determines which workers a step needs and prefers.
     *
     * @param mayWait whether the step may wait for fast workers
     */
    void update(StepInstance step, boolean mayWait, long nowMs, long wallMs) {
        step.minSpeed = 0;
        step.prefersSlow = false;
        FleetSpeeds speeds = mState.speeds;
        if (!speeds.isUneven() || step.plan.longRunning() || step.plan.fills()) {
            return;
        }
        long expectedMs = step.expectedMs(mState.durationEstimator);
        long restMs = step.job.remainingCriticalPathMs(step.occurrence, mState.durationEstimator);
        long laterStepsMs = Math.max(0, restMs - expectedMs);
        double workMs = expectedMs * DURATION_RESERVE;
        long leftMs = mOrder.objectiveEndMs(step, nowMs, wallMs) - nowMs - START_MS - laterStepsMs;
        double needed = leftMs <= 0 ? Double.MAX_VALUE : workMs / leftMs;
        boolean late = needed > speeds.fast();
        if (late) {
            long usefulMs =
                    mOrder.lastUsefulEndMs(step, nowMs, wallMs) - nowMs - START_MS - laterStepsMs;
            needed = usefulMs <= 0 ? Double.MAX_VALUE : workMs / usefulMs;
        }
        if (needed <= speeds.slowest() || needed > speeds.fast()) {
            step.prefersSlow = true;
        } else if (mayWait) {
            step.minSpeed = Math.min(needed, speeds.fast() * MAX_OF_FAST);
            if (!Placement.canRackHold(step, mState.workers.values())) {
                step.minSpeed = 0;
            }
        }
    }
}
