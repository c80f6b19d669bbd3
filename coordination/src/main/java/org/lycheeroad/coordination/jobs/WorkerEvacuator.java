package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.state.work.StepPlan;

/**
 * Moves runs off draining workers.
 *
 * <p>A checkpointing task is stopped only shortly before the worker leaves, because it loses little
 * work and may still end. Other tasks are stopped as soon as they are not expected to end in time
 * and another worker has capacity for them.
 */
final class WorkerEvacuator {
    /**
     * How long before the worker leaves a checkpointing run is stopped: a stop takes up to 900 ms,
     * plus the time for its answer.
     */
    private static final long CHECKPOINT_LEAD_MS = 1_200;

    /**
     * How much longer than the worker's announced time a run may need and still be kept. Workers
     * stay somewhat longer than announced, and estimates are rough.
     */
    private static final long DEPARTURE_MARGIN_MS = 1_500;

    private final ClusterState mState;

    WorkerEvacuator(ClusterState state) {
        mState = state;
    }

    /** Stops the runs that have to move off draining workers. */
    void evacuate(long nowMs) {
        for (Worker worker : mState.workers.values()) {
            if (worker.leavesAtMs == Long.MAX_VALUE) {
                continue;
            }
            for (Run run : new ArrayList<>(worker.runs.values())) {
                if (run.phase == Phase.RUNNING && !run.task.done && shouldMove(run, nowMs)) {
                    mState.stopRun(run, StopReason.WORKER_LEAVES, nowMs);
                    if (run.task.step.plan.gang()) {
                        mState.stopGang(run.task.step, run.ref.attempt(), nowMs);
                    }
                }
            }
        }
    }

    private boolean shouldMove(Run run, long nowMs) {
        StepPlan plan = run.task.step.plan;
        long leftMs = run.worker.leavesAtMs - nowMs;
        long neededMs = plan.longRunning() ? Long.MAX_VALUE : mState.remainingMs(run, nowMs);
        if (plan.checkpointing() && !plan.longRunning()) {
            return leftMs < CHECKPOINT_LEAD_MS && neededMs > leftMs;
        }
        return neededMs > leftMs + DEPARTURE_MARGIN_MS && fitsElsewhere(run, nowMs);
    }

    private boolean fitsElsewhere(Run run, long nowMs) {
        StepInstance step = run.task.step;
        for (Worker worker : mState.workers.values()) {
            if (worker.isSchedulable(nowMs)
                    && Placement.isEligible(step, worker)
                    && step.isAllowedByPolicy(worker, nowMs)
                    && Placement.countFitting(step, worker, worker.resourcesFreeFor(step), 1) > 0) {
                return true;
            }
        }
        return false;
    }
}
