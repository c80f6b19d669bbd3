package org.lycheeroad.coordination.routing;

/**
 * Counts the attempts at each target that run far longer than is typical for their flow.
 *
 * <p>Two at one target are more likely the target's fault than that of the work, so it gets no more
 * until one of them ends.
 */
final class OverdueAttempts {
    /** From this many on, a target gets nothing new from this entry. */
    static final int SUSPECT_THRESHOLD = 2;

    private static final double OVERDUE_RATIO = 8;
    private static final long MIN_OVERDUE_MICROS = 250_000;
    private static final long COUNT_INTERVAL_MICROS = 10_000;

    private final ServiceTimes mServiceTimes;
    private long mLastCountMicros = Long.MIN_VALUE / 2;

    OverdueAttempts(ServiceTimes serviceTimes) {
        mServiceTimes = serviceTimes;
    }

    /** Tells whether an attempt has run so long that its target is suspect. */
    boolean isOverdue(RoutedRequest request, long now) {
        return request.mPhase == RoutedRequest.Phase.IN_FLIGHT
                && now - request.mDispatchedMicros
                        > Math.max(
                                MIN_OVERDUE_MICROS,
                                OVERDUE_RATIO * mServiceTimes.geometricMeanMicros(request.mFlow));
    }

    /** Counts anew if the last count is too old. */
    void updateCounts(Iterable<TargetState> targets, long now) {
        if (now - mLastCountMicros < COUNT_INTERVAL_MICROS) {
            return;
        }
        mLastCountMicros = now;
        for (TargetState target : targets) {
            target.mOverdueCount = 0;
            for (RoutedRequest request : target.mHeldRequests) {
                // Work of unknown length says nothing about its target by running long.
                if (mServiceTimes.isKnown(request.mFlow) && isOverdue(request, now)) {
                    target.mOverdueCount++;
                }
            }
        }
    }
}
