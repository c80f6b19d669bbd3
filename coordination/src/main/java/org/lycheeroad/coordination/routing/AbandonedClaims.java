package org.lycheeroad.coordination.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lycheeroad.state.id.RequestId;

/**
 * Tracks requests that ended before the store answered their claim, so that a claim that is granted
 * later can be released.
 *
 * <p>A claim that is no longer tracked stays in the store until its lease expires. This is safe:
 * the request never runs, and a repetition of it is rejected as possibly executed.
 */
final class AbandonedClaims {
    /** After this time, the claim or its answer is assumed to be lost. */
    static final long MAX_AGE_MICROS = 60_000_000;

    private final int mMaxClaims;

    /** The times at which the claims were abandoned, oldest first. */
    private final Map<RequestId, Long> mAbandonedAtMicros = new LinkedHashMap<>();

    /**
     * Creates an instance without claims.
     *
     * @param maxClaims the maximum number of claims; beyond it, the oldest claim is dropped
     */
    AbandonedClaims(int maxClaims) {
        mMaxClaims = maxClaims;
    }

    void add(RequestId request, long nowMicros) {
        mAbandonedAtMicros.put(request, nowMicros);
        if (mAbandonedAtMicros.size() > mMaxClaims) {
            removeOldest();
        }
    }

    /** Stops tracking a claim; returns whether it was abandoned. */
    boolean remove(RequestId request) {
        return mAbandonedAtMicros.remove(request) != null;
    }

    void removeExpired(long nowMicros) {
        while (!mAbandonedAtMicros.isEmpty()
                && nowMicros - mAbandonedAtMicros.values().iterator().next() > MAX_AGE_MICROS) {
            removeOldest();
        }
    }

    int size() {
        return mAbandonedAtMicros.size();
    }

    private void removeOldest() {
        Iterator<RequestId> oldest = mAbandonedAtMicros.keySet().iterator();
        oldest.next();
        oldest.remove();
    }
}
