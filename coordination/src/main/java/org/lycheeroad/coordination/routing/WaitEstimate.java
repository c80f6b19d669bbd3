package org.lycheeroad.coordination.routing;

/** Estimates how long a request would wait, to shed it early or to send it to another region. */
final class WaitEstimate {
    /** Two ways of the 30 ms between regions. */
    static final double REGION_ROUND_TRIP_MICROS = 60_000;

    /** The estimate must exceed the time left by this, as slots may become free meanwhile. */
    private static final double ARRIVING_SHED_FACTOR = 1.5;

    /** A request that has waited is given up only on a worse estimate than a new one. */
    private static final double WAITING_SHED_FACTOR = 2;

    private final FairQueue mQueue;
    private final ServiceTimes mServiceTimes;
    private final RateLimits mRateLimits;
    private final StartRates mStartRates;

    WaitEstimate(
            FairQueue queue,
            ServiceTimes serviceTimes,
            RateLimits rateLimits,
            StartRates startRates) {
        mQueue = queue;
        mServiceTimes = serviceTimes;
        mRateLimits = rateLimits;
        mStartRates = startRates;
    }

    /** Returns the microseconds until a number of waiting requests of a flow have started. */
    double waitMicros(Flow flow, int ahead, int slotsInUse) {
        if (slotsInUse == 0) {
            return Double.MAX_VALUE;
        }
        return ahead * mServiceTimes.meanMicros(flow) / (mQueue.fairShare(flow) * slotsInUse);
    }

    /** Tells whether the wait of a flow's oldest request costs more than the link. */
    boolean exceedsRegionRoundTrip(Flow flow, int slotsInUse) {
        return waitMicros(flow, mQueue.size(flow), slotsInUse) > REGION_ROUND_TRIP_MICROS;
    }

    /** Tells whether a request that would join the queue now cannot be answered in time. */
    boolean willMissDeadline(Flow flow, long leftMicros, int slotsInUse) {
        return willMissDeadline(
                flow, mQueue.size(flow), ARRIVING_SHED_FACTOR, leftMicros, slotsInUse);
    }

    /**
     * Tells whether a waiting request with others before it cannot be answered in time any more.
     */
    boolean willMissDeadlineWhileWaiting(Flow flow, int ahead, long leftMicros, int slotsInUse) {
        return willMissDeadline(flow, ahead, WAITING_SHED_FACTOR, leftMicros, slotsInUse);
    }

    private boolean willMissDeadline(
            Flow flow, int ahead, double certainty, long leftMicros, int slotsInUse) {
        if (ahead == 0 || slotsInUse == 0) {
            return false;
        }
        if (mRateLimits.waitMicros(flow, ahead) > certainty * leftMicros) {
            return true;
        }
        if (!mServiceTimes.isKnown(flow)) {
            return false;
        }
        double startsPerMicro = mStartRates.startsPerMicro(flow);
        if (startsPerMicro > 0) {
            double wait = ahead / startsPerMicro;
            return wait / certainty + mServiceTimes.percentile90Micros(flow) > leftMicros;
        }
        double wait = waitMicros(flow, ahead, slotsInUse);
        return wait + mServiceTimes.geometricMeanMicros(flow) > certainty * leftMicros;
    }

    /** Tells whether a request whose turn it is would hardly be answered in time. */
    boolean isServiceTimeTooLong(Flow flow, long leftMicros) {
        return mServiceTimes.isKnown(flow) && mServiceTimes.percentile90Micros(flow) > leftMicros;
    }
}
