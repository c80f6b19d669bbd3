package org.lycheeroad.coordination.routing;

import java.util.Map;

/**
 * Measures the rate at which requests of each flow start while the flow is backlogged, that is,
 * while other requests of it wait.
 *
 * <p>Starts of a flow without a backlog are not counted: their rate is the arrival rate and not the
 * rate at which requests can be served.
 */
final class StartRates {
    /**
     * The time constant of the exponential decay of the counts. With 10 s, the rate was too
     * uncertain, because an entry starts only about 3 renders per second: 1.5 times as many
     * requests were shed.
     */
    private static final double DECAY_TIME_MICROS = 30_000_000;

    /** The backlogged time below which the rate is too uncertain to be used. */
    private static final double MIN_BACKLOGGED_MICROS = 2_000_000;

    private static final long SAMPLE_INTERVAL_MICROS = 10_000;
    private static final int MAX_FLOWS = 4_096;

    private final Map<Flow, Rate> mRates = new ServiceTimes.LruMap<>(MAX_FLOWS);
    private long mLastSampleMicros = Long.MIN_VALUE / 2;

    /** Counts a start. Must be called before the request is removed from the queue. */
    void recordStart(Flow flow) {
        Rate rate = mRates.get(flow);
        if (rate != null && rate.mBacklogged) {
            rate.mStarts++;
        }
    }

    /** Samples which flows are backlogged, at most once per sample interval. */
    void sample(FairQueue queue, long nowMicros) {
        long elapsedMicros = nowMicros - mLastSampleMicros;
        if (elapsedMicros < SAMPLE_INTERVAL_MICROS) {
            return;
        }
        mLastSampleMicros = nowMicros;
        mRates.values().forEach(rate -> rate.advance(elapsedMicros));
        for (Flow flow : queue.waitingFlows()) {
            mRates.computeIfAbsent(flow, f -> new Rate()).mBacklogged = true;
        }
    }

    /** Returns the number of starts per microsecond, or 0 if it is unknown. */
    double startsPerMicro(Flow flow) {
        Rate rate = mRates.get(flow);
        return rate == null || rate.mBackloggedMicros < MIN_BACKLOGGED_MICROS
                ? 0
                : rate.mStarts / rate.mBackloggedMicros;
    }

    private static final class Rate {
        double mStarts;
        double mBackloggedMicros;
        boolean mBacklogged;

        /** Advances the time. Time without a backlog is ignored, so that the last rate is kept. */
        void advance(long elapsedMicros) {
            if (mBacklogged) {
                double decay = Math.exp(-elapsedMicros / DECAY_TIME_MICROS);
                mStarts *= decay;
                mBackloggedMicros = mBackloggedMicros * decay + elapsedMicros;
            }
            mBacklogged = false;
        }
    }
}
