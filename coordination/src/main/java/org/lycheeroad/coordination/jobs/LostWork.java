package org.lycheeroad.coordination.jobs;

import java.util.List;
import org.lycheeroad.state.work.Resources;

/** Measures the work that is thrown away if a run is stopped. */
final class LostWork {
    /** The loss of a stopped task whose size is not known, as an earlier owner stopped it. */
    static final long UNKNOWN_MS = Long.MAX_VALUE;

    /**
     * The most that stopping a checkpointing run loses: work since its checkpoint and a restart.
     */
    private static final long MAX_CHECKPOINTED_LOSS_MS = 1_000;

    /** The number of cores that one accelerator is counted as. */
    private static final double CORES_PER_ACCELERATOR = 8;

    private static final int PERCENT = 100;

    private LostWork() {}

    /** Returns the size of resources in cores, with accelerators counted as several cores. */
    static double coreEquivalents(Resources resources) {
        return resources.cpuMillis() / 1_000.0 + resources.accelerators() * CORES_PER_ACCELERATOR;
    }

    /** Returns the time for which a run has worked without saving the result. */
    static long unsavedMs(Run run, DurationEstimator estimator, long nowMs) {
        StepInstance step = run.task.step;
        if (step.plan.longRunning()) {
            return 0;
        }
        if (run.phase == Run.Phase.UNCONFIRMED) {
            return step.expectedMs(estimator);
        }
        if (run.runningSinceMs <= 0) {
            return 0;
        }
        long elapsedMs = nowMs - run.runningSinceMs;
        if (step.plan.checkpointing()) {
            return Math.min(elapsedMs, MAX_CHECKPOINTED_LOSS_MS);
        }
        // A run that an earlier owner started has run for longer than this owner has seen.
        return Math.max(elapsedMs, step.expectedMs(estimator) * run.progress.percent() / PERCENT);
    }

    /** Returns the unsaved work of a run in core-milliseconds. */
    static double coreMs(Run run, DurationEstimator estimator, long nowMs) {
        return coreEquivalents(run.resources) * unsavedMs(run, estimator, nowMs);
    }

    /** Returns the runs that end with a run: those of its gang, or only itself. */
    static List<Run> endingWith(Run run) {
        StepInstance step = run.task.step;
        if (!step.plan.gang()) {
            return List.of(run);
        }
        return step.tasks.stream()
                .map(task -> task.run)
                .filter(member -> member != null && member.ref.attempt() == run.ref.attempt())
                .toList();
    }

    /**
     * Returns whether a run, with those that end with it, has worked for at least as long as its
     * task lost by the last stop.
     */
    static boolean hasRunOn(Run run, DurationEstimator estimator, long nowMs) {
        for (Run member : endingWith(run)) {
            long lostMs = member.task.lostMs;
            if (lostMs == UNKNOWN_MS) {
                lostMs = member.task.step.expectedMs(estimator);
            }
            long ranMs = member.runningSinceMs > 0 ? nowMs - member.runningSinceMs : 0;
            if (ranMs < lostMs) {
                return false;
            }
        }
        return true;
    }
}
