package org.lycheeroad.coordination.jobs;

import org.lycheeroad.coordination.jobs.Run.Phase;

/**
 * Finds workers whose runs progress much more slowly than before, or than other runs of the same
 * steps do on other workers.
 *
 * <p>Such a worker answers all calls, so only the progress of work shows its state.
 */
final class SlowWorkerDetector {
    /** A run at less than this fraction of its own earlier speed is slow. */
    private static final double SLOW_VERSUS_PEAK = 0.4;

    /**
     * The same in comparison with runs on other workers. It is lower because the tasks of a step
     * differ, and so do the speeds of sound workers.
     */
    private static final double SLOW_VERSUS_OTHERS = 0.28;

    /** A run at more than this fraction of its reference shows that the worker is not slow. */
    private static final double SOUND = 0.65;

    /** The observations on other workers that make a reference. */
    private static final int MIN_OBSERVATIONS = 2;

    /** How long after the last sign of slowness no runs are assigned. */
    private static final long QUARANTINE_MS = 3_000;

    /**
     * The fraction of the workers above which none is added: if most seem slow, the percentages do
     * not tell their speed.
     */
    private static final double MAX_SLOW_FRACTION = 0.4;

    /** From here on, workers may report the same percentage until the end. */
    private static final int NEARLY_DONE_PERCENT = 95;

    private static final double PERCENT = 100;

    private final ClusterState mState;

    SlowWorkerDetector(ClusterState state) {
        mState = state;
    }

    /** Judges a worker after a report of its runs. */
    void onReport(Worker worker, long nowMs) {
        int slow = 0;
        int sound = 0;
        for (Run run : worker.runs.values()) {
            if (run.phase != Phase.RUNNING || !isMeasurable(run)) {
                continue;
            }
            double versusPeak = run.progress.speedRelativeTo(run.progress.peakPercentPerMs());
            double versusOthers = speedRelativeToOthers(run);
            if (versusPeak < SLOW_VERSUS_PEAK || versusOthers < SLOW_VERSUS_OTHERS) {
                slow++;
            } else if (versusPeak > SOUND || versusOthers > SOUND) {
                sound++;
            }
        }
        if (slow > sound && (worker.slow || canAddSlowWorker())) {
            worker.noRunsUntilMs = Math.max(worker.noRunsUntilMs, nowMs + QUARANTINE_MS);
            if (!worker.slow) {
                worker.slow = true;
                worker.runs.values().forEach(r -> r.task.step.observedDurations.forget(worker.id));
            }
        } else if (sound > 0 || worker.runs.isEmpty()) {
            worker.slow = false;
        }
    }

    private boolean canAddSlowWorker() {
        long slow = mState.workers.values().stream().filter(w -> w.slow).count();
        return slow < mState.workers.size() * MAX_SLOW_FRACTION;
    }

    private static double speedRelativeToOthers(Run run) {
        if (run.remote) {
            return Double.NaN;
        }
        long otherMs =
                run.task.step.observedDurations.medianElsewhereMs(run.worker.id, MIN_OBSERVATIONS);
        return otherMs == 0 ? Double.NaN : run.progress.speedRelativeTo(PERCENT / otherMs);
    }

    /** Returns whether the run's percentage tells the speed of its worker. */
    static boolean isMeasurable(Run run) {
        return !run.task.step.plan.longRunning()
                && !run.task.step.plan.fills()
                && run.progress.isMeasured()
                && run.progress.percent() < NEARLY_DONE_PERCENT;
    }
}
