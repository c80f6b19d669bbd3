package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The durations of a step's tasks at the nominal speed, as measured by the progress of their runs.
 *
 * <p>They replace the estimate of the step for runs that follow, such as those after a preemption.
 */
final class ObservedDurations {
    /** Enough for a stable median. */
    private static final int MAX_OBSERVATIONS = 32;

    /** Tasks of one step differ by less; a longer duration is that of a slow worker. */
    private static final double MAX_SPREAD = 2.5;

    /** The observations on other workers that one is compared with to learn its worker's speed. */
    private static final int MIN_SPEED_REFERENCES = 2;

    /** A measured duration, which is converted with the newest speed known for the worker. */
    private static final class Observation {
        private final Worker mWorker;
        private final long mMeasuredMs;

        /** Whether the observation has been added to the speed of the worker. */
        private boolean mCompared;

        Observation(Worker worker, long measuredMs) {
            mWorker = worker;
            mMeasuredMs = measuredMs;
        }

        long durationMs() {
            return Math.max(1, Math.round(mMeasuredMs * mWorker.speed.value()));
        }
    }

    private final List<Observation> mObservations = new ArrayList<>();
    private long mMedianMs;
    private long mLongestMs;

    /** Adds the duration of a task on a worker, as it was measured there. */
    void add(Worker worker, long measuredMs) {
        if (mObservations.size() < MAX_OBSERVATIONS) {
            mObservations.add(new Observation(worker, measuredMs));
            summarize();
        }
    }

    /**
     * Compares the observations with those on other workers, each once, and adds the ratios to the
     * speeds of their workers.
     */
    void updateSpeeds() {
        for (Observation observation : mObservations) {
            if (observation.mCompared) {
                continue;
            }
            long elsewhereMs = medianElsewhereMs(observation.mWorker, MIN_SPEED_REFERENCES);
            if (elsewhereMs > 0) {
                observation.mCompared = true;
                observation.mWorker.speed.add((double) elsewhereMs / observation.mMeasuredMs);
            }
        }
    }

    /** Discards the observations on a worker that has turned out to be slow. */
    void forget(Worker worker) {
        if (mObservations.removeIf(o -> o.mWorker == worker)) {
            summarize();
        }
    }

    boolean isEmpty() {
        return mObservations.isEmpty();
    }

    /** Returns the median duration of a task. */
    long medianMs() {
        return mMedianMs;
    }

    /** Returns the duration of the slowest task, without those on slow workers. */
    long longestMs() {
        return mLongestMs;
    }

    /**
     * Returns the median duration on other workers, or 0 if there are not at least {@code minimum}
     * observations.
     */
    long medianElsewhereMs(Worker worker, int minimum) {
        List<Observation> elsewhere = new ArrayList<>();
        for (Observation observation : mObservations) {
            if (observation.mWorker != worker) {
                elsewhere.add(observation);
            }
        }
        return elsewhere.size() < minimum ? 0 : median(elsewhere);
    }

    private void summarize() {
        mMedianMs = mObservations.isEmpty() ? 0 : median(mObservations);
        long limitMs = Math.round(MAX_SPREAD * mMedianMs);
        mLongestMs = 0;
        for (Observation observation : mObservations) {
            long durationMs = observation.durationMs();
            if (durationMs <= limitMs) {
                mLongestMs = Math.max(mLongestMs, durationMs);
            }
        }
    }

    private static long median(List<Observation> observations) {
        List<Long> durations = new ArrayList<>();
        observations.forEach(o -> durations.add(o.durationMs()));
        Collections.sort(durations);
        return durations.get((durations.size() - 1) / 2);
    }
}
