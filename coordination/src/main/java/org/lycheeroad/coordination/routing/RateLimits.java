package org.lycheeroad.coordination.routing;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.limits.ShareClient;
import org.lycheeroad.coordination.limits.TokenBucket;

/** Applies this entry's shares of the limits; a request without a token waits for one. */
final class RateLimits {
    private final int mEntries;
    private final Map<Flow, TokenBucket> mBuckets = new HashMap<>();

    RateLimits(int entries) {
        mEntries = entries;
    }

    /** Drops limits that no longer exist; a new one starts at its floor until a share comes. */
    void limitsChanged(Map<LimitKey, Double> limits, long now) {
        Map<Flow, Double> floors = new HashMap<>();
        limits.forEach(
                (key, limit) ->
                        floors.put(
                                new Flow(key.team(), key.kind()),
                                ShareClient.baseShare(limit, mEntries)));
        mBuckets.keySet().retainAll(floors.keySet());
        floors.forEach(
                (flow, floor) -> mBuckets.computeIfAbsent(flow, f -> new TokenBucket(floor, now)));
    }

    void shareChanged(Flow flow, double perSecond, long now) {
        TokenBucket bucket = mBuckets.get(flow);
        if (bucket == null) {
            mBuckets.put(flow, new TokenBucket(perSecond, now));
        } else {
            bucket.setRate(perSecond, now);
        }
    }

    boolean admits(Flow flow, long now) {
        TokenBucket bucket = mBuckets.get(flow);
        return bucket == null || bucket.hasToken(now);
    }

    void take(Flow flow, long now) {
        TokenBucket bucket = mBuckets.get(flow);
        if (bucket != null) {
            bucket.tryTake(now);
        }
    }

    /** Returns the time in microseconds until this many more requests are admitted. */
    double waitMicros(Flow flow, int requests) {
        TokenBucket bucket = mBuckets.get(flow);
        return bucket == null ? 0 : 1e6 * requests / Math.max(1e-9, bucket.ratePerSecond());
    }
}
