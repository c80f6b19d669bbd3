package org.lycheeroad.coordination.routing;

/**
 * Counts the overdue attempts at each target: those that run far longer than usual for their flow.
 *
 * <p>Two overdue attempts at one target are more likely caused by the target than by the requests,
 * so the target gets no new requests until one of them ends.
 */
final class OverdueAttempts {
    /** With this many overdue attempts, a target gets no new requests from this entry. */
    static final int SUSPECT_THRESHOLD = 2;

    private static final double OVERDUE_RATIO = 8;
    private static final long MIN_OVERDUE_MICROS = 250_000;
    private static final long COUNT_INTERVAL_MICROS = 10_000;

    private final ServiceTimes mServiceTimes;
    private long mLastCountMicros = Long.MIN_VALUE / 2;

    OverdueAttempts(ServiceTimes serviceTimes) {
        mServiceTimes = serviceTimes;
    }

    /** Returns whether the attempt in flight has run so long that its target may be faulty. */
    boolean isOverdue(RoutedRequest request, long nowMicros) {
        return request.mPhase == RoutedRequest.Phase.IN_FLIGHT
                && nowMicros - request.mDispatchedMicros
                        > Math.max(
                                MIN_OVERDUE_MICROS,
                                OVERDUE_RATIO * mServiceTimes.geometricMeanMicros(request.mFlow));
    }

    /** Updates {@link TargetState#mOverdueCount}, at most once per count interval. */
    void updateCounts(Iterable<TargetState> targets, long nowMicros) {
        if (nowMicros - mLastCountMicros < COUNT_INTERVAL_MICROS) {
            return;
        }
        mLastCountMicros = nowMicros;
        for (TargetState target : targets) {
            target.mOverdueCount = 0;
            for (RoutedRequest request : target.mHeldRequests) {
                // A long run says nothing about the target if the service time is unknown.
                if (mServiceTimes.isKnown(request.mFlow) && isOverdue(request, nowMicros)) {
                    target.mOverdueCount++;
                }
            }
        }
    }
}
