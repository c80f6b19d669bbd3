package org.lycheeroad.coordination.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import org.lycheeroad.state.id.KindId;

/**
 * Estimates the service times of the requests of each flow.
 *
 * <p>A flow with too few samples uses the estimate for its kind over all teams.
 */
final class ServiceTimes {
    /**
     * A flow is long if its geometric mean is at least this multiple of that of the shortest flow.
     */
    static final double LONG_RATIO = 5;

    /**
     * The weight of a new sample in the moving averages, which covers about the last 50 samples.
     */
    private static final double SAMPLE_WEIGHT = 0.02;

    private static final int MIN_SAMPLES = 5;

    /** The 90th percentile of the standard normal distribution. */
    private static final double P90_STANDARD_DEVIATIONS = 1.28;

    private static final double DEFAULT_SERVICE_MICROS = 100_000;

    /** Flows without an answer for this long are ignored when looking for the shortest flow. */
    private static final long MAX_IDLE_MICROS = 60_000_000;

    private static final long SHORTEST_UPDATE_INTERVAL_MICROS = 100_000;
    private static final int MAX_FLOWS = 4_096;

    private final Map<Flow, Estimate> mByFlow = new LruMap<>(MAX_FLOWS);
    private final Map<KindId, Estimate> mByKind = new LruMap<>(MAX_FLOWS);
    private double mShortestMicros = Double.MAX_VALUE;
    private long mShortestUpdatedAtMicros = Long.MIN_VALUE / 2;

    void record(Flow flow, long micros, long nowMicros) {
        double sample = Math.max(1, micros);
        mByFlow.computeIfAbsent(flow, f -> new Estimate()).add(sample, nowMicros);
        mByKind.computeIfAbsent(flow.kind(), k -> new Estimate()).add(sample, nowMicros);
    }

    /**
     * Records an aborted attempt. Its time is only a lower bound of the service time, so that times
     * up to the mean are ignored.
     */
    void recordAborted(Flow flow, long micros, long nowMicros) {
        if (micros > meanMicros(flow)) {
            record(flow, micros, nowMicros);
        }
    }

    /** Returns the arithmetic mean, which is sensitive to outliers. */
    double meanMicros(Flow flow) {
        Estimate estimate = estimate(flow);
        return estimate == null ? DEFAULT_SERVICE_MICROS : estimate.mMeanMicros;
    }

    /** Returns the geometric mean, which is robust against outliers. */
    double geometricMeanMicros(Flow flow) {
        Estimate estimate = estimate(flow);
        return estimate == null ? DEFAULT_SERVICE_MICROS : Math.exp(estimate.mMeanLog);
    }

    /** Returns the 90th percentile, assuming a log-normal distribution. */
    double percentile90Micros(Flow flow) {
        Estimate estimate = estimate(flow);
        if (estimate == null) {
            return DEFAULT_SERVICE_MICROS;
        }
        double variance = estimate.mMeanSquaredLog - estimate.mMeanLog * estimate.mMeanLog;
        return Math.exp(
                estimate.mMeanLog + P90_STANDARD_DEVIATIONS * Math.sqrt(Math.max(0, variance)));
    }

    boolean isKnown(Flow flow) {
        return estimate(flow) != null;
    }

    /**
     * Returns whether a flow may not use slots reserved for short requests; true if it is unknown.
     */
    boolean isLong(Flow flow, long nowMicros) {
        if (nowMicros - mShortestUpdatedAtMicros > SHORTEST_UPDATE_INTERVAL_MICROS) {
            mShortestUpdatedAtMicros = nowMicros;
            mShortestMicros = Double.MAX_VALUE;
            for (Estimate estimate : mByFlow.values()) {
                if (estimate.mSampleCount >= MIN_SAMPLES
                        && nowMicros - estimate.mUpdatedAtMicros <= MAX_IDLE_MICROS) {
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

        void add(double sample, long nowMicros) {
            mSampleCount++;
            double weight = Math.max(SAMPLE_WEIGHT, 1.0 / mSampleCount);
            mMeanMicros += weight * (sample - mMeanMicros);
            double log = Math.log(sample);
            mMeanLog += weight * (log - mMeanLog);
            mMeanSquaredLog += weight * (log * log - mMeanSquaredLog);
            mUpdatedAtMicros = nowMicros;
        }
    }

    /** A map that evicts the least recently used entry above a maximum size. */
    static final class LruMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;

        private final int mMaxEntries;

        LruMap(int maxEntries) {
            super(16, 0.75f, true);
            mMaxEntries = maxEntries;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > mMaxEntries;
        }
    }
}
