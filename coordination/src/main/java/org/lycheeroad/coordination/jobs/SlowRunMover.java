package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.Worker.Reservation;

/**
 * Restarts runs of slow workers elsewhere, if their jobs then end in time or at least usefully and
 * otherwise would not.
 *
 * <p>A run without any progress is given as much time as its restart would lose before it is moved,
 * as its worker may recover.
 */
final class SlowRunMover {
    /** From the stop of a run to the start of the next: a stop takes up to 900 ms. */
    private static final long RESTART_OVERHEAD_MS = 1_200;

    /** The most moves of a task, so that it ends even if no worker seems fast enough. */
    private static final int MAX_MOVES = 2;

    /** How long the places for the next runs are kept free. */
    private static final long RESERVATION_MS = 2_000;

    private static final double PERCENT = 100;

    private final ClusterState mState;
    private final SchedulingOrder mOrder;

    SlowRunMover(ClusterState state, SchedulingOrder order) {
        mState = state;
        mOrder = order;
    }

    /** Stops the runs that have to move, and reserves places for the next ones. */
    void moveRuns(long nowMs, long wallMs) {
        for (Worker worker : mState.workers.values()) {
            if (!worker.slow || worker.unresponsive) {
                continue;
            }
            for (Run run : new ArrayList<>(worker.runs.values())) {
                if (run.phase == Phase.RUNNING
                        && !run.task.done
                        && run.task.moves < MAX_MOVES
                        && SlowWorkerDetector.isMeasurable(run)
                        && isWorthMoving(run, nowMs, wallMs)) {
                    move(run, nowMs);
                }
            }
        }
    }

    private boolean isWorthMoving(Run run, long nowMs, long wallMs) {
        StepInstance step = run.task.step;
        long restartMs = restartMs(run);
        boolean mayRecover = nowMs - run.progress.advancedAtMs() < lossMs(run, restartMs);
        if (run.progress.percentPerMs() == 0 && mayRecover) {
            return false;
        }
        long remainingMs = mState.remainingMs(run, nowMs);
        long restMs = step.job.remainingCriticalPathMs(step.occurrence, mState.durationEstimator);
        long laterStepsMs = Math.max(0, restMs - step.expectedMs(mState.durationEstimator));
        return lateness(step, nowMs + restartMs + laterStepsMs, nowMs, wallMs)
                < lateness(step, nowMs + remainingMs + laterStepsMs, nowMs, wallMs);
    }

    /** Returns 0 for an end in time, 1 for a late but useful one and 2 for a useless one. */
    private int lateness(StepInstance step, long endMs, long nowMs, long wallMs) {
        if (endMs <= mOrder.objectiveEndMs(step, nowMs, wallMs)) {
            return 0;
        }
        return endMs <= mOrder.lastUsefulEndMs(step, nowMs, wallMs) ? 1 : 2;
    }

    /**
     * Returns how much later a run ends if it is started again elsewhere, beside its own duration.
     */
    private static long lossMs(Run run, long restartMs) {
        StepInstance step = run.task.step;
        double done = step.plan.checkpointing() ? 0 : run.progress.percent() / PERCENT;
        return Math.round((restartMs - RESTART_OVERHEAD_MS) * done) + RESTART_OVERHEAD_MS;
    }

    /** Returns the time from now until the end of a run elsewhere. */
    private long restartMs(Run run) {
        StepInstance step = run.task.step;
        double peak = run.progress.peakPercentPerMs();
        long fullMs =
                step.observedDurations.isEmpty() && peak > 0
                        ? Math.round(PERCENT / peak)
                        : step.expectedMs(mState.durationEstimator);
        // A stop saves the progress of a task that writes checkpoints.
        double left = step.plan.checkpointing() ? 1 - run.progress.percent() / PERCENT : 1;
        return Math.round(fullMs * left) + RESTART_OVERHEAD_MS;
    }

    private void move(Run run, long nowMs) {
        StepInstance step = run.task.step;
        List<Task> moved = new ArrayList<>();
        List<Run> kept = new ArrayList<>();
        for (Task task : step.plan.gang() ? step.tasks : List.of(run.task)) {
            if (task.run != null && task.run.phase == Phase.RUNNING) {
                // A member in an evacuated domain could not start there again.
                if (task.run.worker.slow || task.run.worker.evacuated) {
                    moved.add(task);
                } else {
                    kept.add(task.run);
                }
            }
        }
        Map<Task, Worker> places = Placement.place(step, moved, mState, false, nowMs);
        if (places.size() < moved.size()) {
            return;
        }
        places.values().forEach(worker -> reserve(worker, step, nowMs));
        kept.forEach(other -> reserve(other.worker, step, nowMs));
        for (Task task : moved) {
            task.failedWorkers.add(task.run.worker.id);
            task.moves++;
            mState.stopRun(task.run, StopReason.WORKER_SLOW, nowMs);
        }
        if (step.plan.gang()) {
            mState.stopGang(step, run.ref.attempt(), nowMs);
        }
    }

    private static void reserve(Worker worker, StepInstance step, long nowMs) {
        worker.reservations.add(new Reservation(step, 1, true, nowMs + RESERVATION_MS));
    }
}
