package org.lycheeroad.coordination.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lycheeroad.state.id.RequestId;

/**
 * Remembers requests that ended before the store answered their claim, so that a claim granted
 * later is released.
 *
 * <p>A claim that is forgotten here stays in the store until its lease ends. That is safe: the
 * request never runs, and a repeat of it is told that it may have run.
 */
final class AbandonedClaims {
    /** A store that has not answered for this long has lost the claim or its answer. */
    static final long MAX_AGE_MICROS = 60_000_000;

    private final int mMaxClaims;

    /** Times at which the claims were abandoned, oldest first. */
    private final Map<RequestId, Long> mAbandonedAtMicros = new LinkedHashMap<>();

    /**
     * Creates an empty memory.
     *
     * @param max the most claims; the oldest is forgotten for a new one
     */
    AbandonedClaims(int max) {
        mMaxClaims = max;
    }

    void add(RequestId request, long now) {
        mAbandonedAtMicros.put(request, now);
        if (mAbandonedAtMicros.size() > mMaxClaims) {
            removeOldest();
        }
    }

    /** Returns whether the claim was abandoned, and forgets it. */
    boolean remove(RequestId request) {
        return mAbandonedAtMicros.remove(request) != null;
    }

    void removeExpired(long now) {
        while (!mAbandonedAtMicros.isEmpty()
                && now - mAbandonedAtMicros.values().iterator().next() > MAX_AGE_MICROS) {
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
