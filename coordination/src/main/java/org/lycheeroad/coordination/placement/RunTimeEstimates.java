package org.lycheeroad.coordination.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.job.JobSpec;

/**
 * Estimates run times per team and kind as the median of the latest samples; the declared time is
 * used until there are enough samples.
 */
final class RunTimeEstimates {
    private static final int MAX_SAMPLES = 15;
    private static final int MIN_SAMPLES = 3;

    private record Key(TeamId team, KindId kind) {}

    private static final class Samples {
        final long[] mRunTimesMs = new long[MAX_SAMPLES];
        int mCount;
    }

    private final Map<Key, Samples> mSamples = new HashMap<>();

    /** Adds the run time of a gang that finished successfully. */
    void addSample(JobSpec spec, long ranMs) {
        Samples samples =
                mSamples.computeIfAbsent(new Key(spec.team(), spec.kind()), key -> new Samples());
        samples.mRunTimesMs[samples.mCount++ % MAX_SAMPLES] = ranMs;
    }

    /** Returns the median of the latest run times, or the declared run time. */
    long estimateMs(JobSpec spec) {
        Samples samples = mSamples.get(new Key(spec.team(), spec.kind()));
        if (samples == null || samples.mCount < MIN_SAMPLES) {
            return Math.max(1, spec.declaredMs());
        }
        long[] sortedMs = Arrays.copyOf(samples.mRunTimesMs, Math.min(samples.mCount, MAX_SAMPLES));
        Arrays.sort(sortedMs);
        return sortedMs[sortedMs.length / 2];
    }
}
