package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.state.work.StepPlan;

/**
 * Moves work off workers that are about to leave.
 *
 * <p>Tasks that save their progress go on to the last moment, for they may still end. Others are
 * given up as soon as they cannot end in time and another worker has room for them.
 */
final class WorkerEvacuator {
    /** When a task that saves its progress is stopped: a stop of up to 900 ms and its answer. */
    private static final long CHECKPOINT_LEAD_MS = 1_200;

    /** Workers stay somewhat longer than they say, and estimates are rough. */
    private static final long DEPARTURE_MARGIN_MS = 1_500;

    private final ClusterState mState;

    WorkerEvacuator(ClusterState cluster) {
        mState = cluster;
    }

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
        long left = run.worker.leavesAtMs - nowMs;
        long needed = plan.longRunning() ? Long.MAX_VALUE : mState.remainingMs(run, nowMs);
        if (plan.checkpointing() && !plan.longRunning()) {
            return left < CHECKPOINT_LEAD_MS && needed > left;
        }
        return needed > left + DEPARTURE_MARGIN_MS && hasRoomElsewhere(run, nowMs);
    }

    private boolean hasRoomElsewhere(Run run, long nowMs) {
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
