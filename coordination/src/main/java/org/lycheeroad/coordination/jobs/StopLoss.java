package org.lycheeroad.coordination.jobs;

import java.util.List;

/** Computes what callers lose if a run is stopped, with all runs that end with it. */
final class StopLoss {
    /** How long the victim's restart waits beside the stop, as its room is taken until then. */
    private static final long RESTART_MS = 2_000;

    private final ClusterState mState;
    private final EndUtility mUtility;

    StopLoss(ClusterState state, EndUtility utility) {
        mState = state;
        mUtility = utility;
    }

    /** Returns the loss in weighted core-milliseconds. */
    double of(Run run, long stopMs, long nowMs, long wallMs) {
        StepInstance step = run.task.step;
        List<Run> members = LostWork.endingWith(run);
        double lostCoreMs = 0;
        double cores = 0;
        for (Run member : members) {
            lostCoreMs += LostWork.coreMs(member, mState.durationEstimator, nowMs);
            cores += LostWork.coreEquivalents(member.resources);
        }
        // The room stands idle until the stop is done.
        lostCoreMs += cores * stopMs;
        double before = mUtility.of(step, nowMs + mState.remainingMs(run, nowMs), nowMs, wallMs);
        long restartedEndMs = nowMs + stopMs + RESTART_MS + remainingAfterStopMs(run, nowMs);
        double after = mUtility.of(step, restartedEndMs, nowMs, wallMs);
        double workCoreMs = cores * step.expectedMs(mState.durationEstimator);
        return PriorityWeights.weightOf(step.job.queue.priority())
                * (lostCoreMs + workCoreMs * Math.max(0, before - after));
    }

    private long remainingAfterStopMs(Run run, long nowMs) {
        long expectedMs = run.task.step.expectedMs(mState.durationEstimator);
        return run.task.step.plan.checkpointing()
                ? Math.min(expectedMs, mState.remainingMs(run, nowMs))
                : expectedMs;
    }
}
