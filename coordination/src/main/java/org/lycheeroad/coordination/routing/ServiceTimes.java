package org.lycheeroad.coordination.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import org.lycheeroad.state.id.KindId;

/**
 * Learns how long the requests of each flow run.
 *
 * <p>A flow without enough answers borrows the estimate of its kind.
 */
final class ServiceTimes {
    /** A flow is long if it typically runs this many times longer than the shortest one. */
    static final double LONG_RATIO = 5;

    /** Weight of a new sample, so that about the last 50 count. */
    private static final double SAMPLE_WEIGHT = 0.02;

    private static final int MIN_SAMPLES = 5;

    /** Standard deviations above the mean of a normal distribution that hold 90% of it. */
    private static final double P90_STANDARD_DEVIATIONS = 1.28;

    private static final double DEFAULT_MICROS = 100_000;

    /** A flow that had no answer for this long does not make others long by comparison. */
    private static final long MAX_IDLE_MICROS = 60_000_000;

    private static final long SHORTEST_UPDATE_INTERVAL_MICROS = 100_000;
    private static final int MAX_FLOWS = 4_096;

    private final Map<Flow, Estimate> mByFlow = new LruMap<>(MAX_FLOWS);
    private final Map<KindId, Estimate> mByKind = new LruMap<>(MAX_FLOWS);
    private double mShortestMicros = Double.MAX_VALUE;
    private long mShortestUpdatedAtMicros = Long.MIN_VALUE / 2;

    void record(Flow flow, long micros, long now) {
        double sample = Math.max(1, micros);
        mByFlow.computeIfAbsent(flow, f -> new Estimate()).add(sample, now);
        mByKind.computeIfAbsent(flow.kind(), k -> new Estimate()).add(sample, now);
    }

    /**
     * Records an attempt that was given up; it tells only that the work runs at least this long.
     */
    void recordAborted(Flow flow, long micros, long now) {
        if (micros > meanMicros(flow)) {
            record(flow, micros, now);
        }
    }

    /** Returns the mean in microseconds, which stragglers raise. */
    double meanMicros(Flow flow) {
        Estimate estimate = estimate(flow);
        return estimate == null ? DEFAULT_MICROS : estimate.mMeanMicros;
    }

    /** Returns the geometric mean in microseconds, which stragglers hardly raise. */
    double geometricMeanMicros(Flow flow) {
        Estimate estimate = estimate(flow);
        return estimate == null ? DEFAULT_MICROS : Math.exp(estimate.mMeanLog);
    }

    /** Returns the microseconds within which about nine of ten requests end. */
    double percentile90Micros(Flow flow) {
        Estimate estimate = estimate(flow);
        if (estimate == null) {
            return DEFAULT_MICROS;
        }
        double variance = estimate.mMeanSquaredLog - estimate.mMeanLog * estimate.mMeanLog;
        return Math.exp(
                estimate.mMeanLog + P90_STANDARD_DEVIATIONS * Math.sqrt(Math.max(0, variance)));
    }

    boolean isKnown(Flow flow) {
        return estimate(flow) != null;
    }

    /** Tells whether a flow is kept out of the slots reserved for short work; unknown ones are. */
    boolean isLong(Flow flow, long now) {
        if (now - mShortestUpdatedAtMicros > SHORTEST_UPDATE_INTERVAL_MICROS) {
            mShortestUpdatedAtMicros = now;
            mShortestMicros = Double.MAX_VALUE;
            for (Estimate estimate : mByFlow.values()) {
                if (estimate.mSampleCount >= MIN_SAMPLES
                        && now - estimate.mUpdatedAtMicros <= MAX_IDLE_MICROS) {
                    mShortestMicros = Math.min(mShortestMicros, Math.exp(estimate.mMeanLog));
                }
            }
        }
        return !isKnown(flow) || geometricMeanMicros(flow) >= LONG_RATIO * mShortestMicros;
    }

    private Estimate estimate(Flow flow) {
        Estimate estimate = mByFlow.get(flow);
        if (estimate == null || estimate.mSampleCount < MIN_SAMPLES) {
            estimate = mByKind.get(flow.kind());
        }
        return estimate == null || estimate.mSampleCount < MIN_SAMPLES ? null : estimate;
    }

    private static final class Estimate {
        double mMeanMicros;
        double mMeanLog;
        double mMeanSquaredLog;
        long mSampleCount;
        long mUpdatedAtMicros;

        void add(double sample, long now) {
            mSampleCount++;
            double weight = Math.max(SAMPLE_WEIGHT, 1.0 / mSampleCount);
            mMeanMicros += weight * (sample - mMeanMicros);
            double log = Math.log(sample);
            mMeanLog += weight * (log - mMeanLog);
            mMeanSquaredLog += weight * (log * log - mMeanSquaredLog);
            mUpdatedAtMicros = now;
        }
    }

    /** Forgets the key that was not used for longest when there are too many. */
    static final class LruMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;

        private final int mMaxEntries;

        LruMap(int max) {
            super(16, 0.75f, true);
            mMaxEntries = max;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > mMaxEntries;
        }
    }
}
