package org.lycheeroad.coordination.routing;

import java.util.Map;

/**
 * Measures how many requests of each flow start per second while others of it wait.
 *
 * <p>Starts while none wait say how much work arrives and not how much would be served, so that
 * they don't count.
 */
final class StartRates {
    /**
     * Older starts count less. An entry starts about 3 renders a second, of which 10 s give a rate
     * that is too uncertain: it shed half as many again.
     */
    private static final double DECAY_TIME_MICROS = 30_000_000;

    /** Below this time of waiting, the rate says little. */
    private static final double MIN_BACKLOGGED_MICROS = 2_000_000;

    private static final long SAMPLE_INTERVAL_MICROS = 10_000;
    private static final int MAX_FLOWS = 4_096;

    private final Map<Flow, Rate> mRates = new ServiceTimes.LruMap<>(MAX_FLOWS);
    private long mLastSampleMicros = Long.MIN_VALUE / 2;

    /** Counts a start; to be called before the request leaves the queue. */
    void recordStart(Flow flow) {
        Rate rate = mRates.get(flow);
        if (rate != null && rate.mBacklogged) {
            rate.mStarts++;
        }
    }

    /** Notes which flows wait, unless it was done just before. */
    void sample(FairQueue queue, long now) {
        long micros = now - mLastSampleMicros;
        if (micros < SAMPLE_INTERVAL_MICROS) {
            return;
        }
        mLastSampleMicros = now;
        mRates.values().forEach(rate -> rate.advance(micros));
        for (Flow flow : queue.waitingFlows()) {
            mRates.computeIfAbsent(flow, f -> new Rate()).mBacklogged = true;
        }
    }

    /** Returns the starts per microsecond, or 0 if they are not known. */
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

        /** Only time in which requests wait passes, so that an old rate holds until it is used. */
        void advance(long micros) {
            if (mBacklogged) {
                double kept = Math.exp(-micros / DECAY_TIME_MICROS);
                mStarts *= kept;
                mBackloggedMicros = mBackloggedMicros * kept + micros;
            }
            mBacklogged = false;
        }
    }
}
