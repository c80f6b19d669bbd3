package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.lycheeroad.state.id.WorkerId;

/**
 * The durations of a step's tasks at full speed, as measured by the progress of their runs.
 *
 * <p>They replace the estimate of the step for runs that follow, such as those after a preemption.
 */
final class ObservedDurations {
    /** Enough for a stable median. */
    private static final int MAX_OBSERVATIONS = 32;

    /** Tasks of one step differ by less; a longer duration is that of a slow worker. */
    private static final double MAX_SPREAD = 2.5;

    private record Observation(WorkerId worker, long durationMs) {}

    private final List<Observation> mObservations = new ArrayList<>();
    private long mMedianMs;
    private long mLongestMs;

    void add(WorkerId worker, long durationMs) {
        if (mObservations.size() < MAX_OBSERVATIONS) {
            mObservations.add(new Observation(worker, durationMs));
            summarize();
        }
    }

    /** Discards the observations on a worker that has turned out to be slow. */
    void forget(WorkerId worker) {
        if (mObservations.removeIf(o -> o.worker.equals(worker))) {
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
    long medianElsewhereMs(WorkerId worker, int minimum) {
        List<Observation> elsewhere = new ArrayList<>();
        for (Observation observation : mObservations) {
            if (!observation.worker.equals(worker)) {
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
            if (observation.durationMs <= limitMs) {
                mLongestMs = Math.max(mLongestMs, observation.durationMs);
            }
        }
    }

    private static long median(List<Observation> observations) {
        List<Long> durations = new ArrayList<>();
        observations.forEach(o -> durations.add(o.durationMs));
        Collections.sort(durations);
        return durations.get((durations.size() - 1) / 2);
    }
}
