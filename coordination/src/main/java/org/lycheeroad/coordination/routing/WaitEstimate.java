package org.lycheeroad.coordination.routing;

/** Estimates the waiting times of requests, to shed them early or send them to another region. */
final class WaitEstimate {
    /** The round-trip time between regions: twice the 30 ms of one way. */
    static final double REGION_ROUND_TRIP_MICROS = 60_000;

    /**
     * A request is shed on arrival if the estimate exceeds the remaining time by this factor. Slots
     * may become free earlier than estimated.
     */
    private static final double ARRIVING_SHED_FACTOR = 1.5;

    /**
     * The same for requests that have already waited; higher, so that they are shed less readily.
     */
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

    /** Returns the microseconds until a number of waiting requests of a flow will have started. */
    double waitMicros(Flow flow, int requestsAhead, int slotsInUse) {
        if (slotsInUse == 0) {
            return Double.MAX_VALUE;
        }
        return requestsAhead
                * mServiceTimes.meanMicros(flow)
                / (mQueue.fairShare(flow) * slotsInUse);
    }

    /**
     * Returns whether starting a flow's waiting requests takes longer than a round trip to another
     * region.
     */
    boolean exceedsRegionRoundTrip(Flow flow, int slotsInUse) {
        return waitMicros(flow, mQueue.size(flow), slotsInUse) > REGION_ROUND_TRIP_MICROS;
    }

    /** Returns whether a request that arrives now is expected to miss its deadline. */
    boolean willMissDeadline(Flow flow, long remainingMicros, int slotsInUse) {
        return willMissDeadline(
                flow, mQueue.size(flow), ARRIVING_SHED_FACTOR, remainingMicros, slotsInUse);
    }

    /**
     * Returns whether a waiting request, with others ahead of it, is expected to miss its deadline.
     */
    boolean willMissDeadlineWhileWaiting(
            Flow flow, int requestsAhead, long remainingMicros, int slotsInUse) {
        return willMissDeadline(
                flow, requestsAhead, WAITING_SHED_FACTOR, remainingMicros, slotsInUse);
    }

    private boolean willMissDeadline(
            Flow flow, int requestsAhead, double shedFactor, long remainingMicros, int slotsInUse) {
        if (requestsAhead == 0 || slotsInUse == 0) {
            return false;
        }
        if (mRateLimits.waitMicros(flow, requestsAhead) > shedFactor * remainingMicros) {
            return true;
        }
        if (!mServiceTimes.isKnown(flow)) {
            return false;
        }
        double startsPerMicro = mStartRates.startsPerMicro(flow);
        if (startsPerMicro > 0) {
            double waitMicros = requestsAhead / startsPerMicro;
            return waitMicros / shedFactor + mServiceTimes.percentile90Micros(flow)
                    > remainingMicros;
        }
        double waitMicros = waitMicros(flow, requestsAhead, slotsInUse);
        return waitMicros + mServiceTimes.geometricMeanMicros(flow) > shedFactor * remainingMicros;
    }

    /** Returns whether a request is unlikely to meet its deadline even if it starts now. */
    boolean isServiceTimeTooLong(Flow flow, long remainingMicros) {
        return mServiceTimes.isKnown(flow)
                && mServiceTimes.percentile90Micros(flow) > remainingMicros;
    }
}
