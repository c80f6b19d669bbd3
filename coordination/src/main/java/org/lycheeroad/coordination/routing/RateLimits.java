package org.lycheeroad.coordination.routing;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.limits.ShareClient;
import org.lycheeroad.coordination.limits.TokenBucket;

/** Enforces this entry's shares of the rate limits, with a token bucket for each limited flow. */
final class RateLimits {
    private final int mEntryCount;
    private final Map<Flow, TokenBucket> mBuckets = new HashMap<>();

    RateLimits(int entryCount) {
        mEntryCount = entryCount;
    }

    /**
     * Replaces the limits; a new limit starts with its guaranteed minimum until a share is granted.
     */
    void setLimits(Map<LimitKey, Double> limits, long nowMicros) {
        Map<Flow, Double> floors = new HashMap<>();
        limits.forEach(
                (key, limit) ->
                        floors.put(
                                new Flow(key.team(), key.kind()),
                                ShareClient.baseShare(limit, mEntryCount)));
        mBuckets.keySet().retainAll(floors.keySet());
        floors.forEach(
                (flow, floor) ->
                        mBuckets.computeIfAbsent(flow, f -> new TokenBucket(floor, nowMicros)));
    }

    /** Sets this entry's share of the limit of a flow, in requests per second. */
    void setShare(Flow flow, double perSecond, long nowMicros) {
        TokenBucket bucket = mBuckets.get(flow);
        if (bucket == null) {
            mBuckets.put(flow, new TokenBucket(perSecond, nowMicros));
        } else {
            bucket.setRate(perSecond, nowMicros);
        }
    }

    boolean hasToken(Flow flow, long nowMicros) {
        TokenBucket bucket = mBuckets.get(flow);
        return bucket == null || bucket.hasToken(nowMicros);
    }

    void takeToken(Flow flow, long nowMicros) {
        TokenBucket bucket = mBuckets.get(flow);
        if (bucket != null) {
            bucket.tryTake(nowMicros);
        }
    }

    /** Returns the time in microseconds until tokens for a number of requests are available. */
    double waitMicros(Flow flow, int requests) {
        TokenBucket bucket = mBuckets.get(flow);
        return bucket == null ? 0 : 1e6 * requests / Math.max(1e-9, bucket.ratePerSecond());
    }
}
