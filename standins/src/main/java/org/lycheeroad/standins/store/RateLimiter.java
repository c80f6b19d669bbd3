package org.lycheeroad.standins.store;

/** A token bucket whose capacity is the number of calls allowed in one second. */
final class RateLimiter {
    private final int mPerSecond;
    private double mTokens;
    private long mLastNanos;

    RateLimiter(int perSecond) {
        mPerSecond = perSecond;
        mTokens = perSecond;
        mLastNanos = System.nanoTime();
    }

    /** Takes one token, or throws if none is left. */
    void acquire(long nowNanos) throws EtcdException {
        mTokens = Math.min(mPerSecond, mTokens + (nowNanos - mLastNanos) * 1e-9 * mPerSecond);
        mLastNanos = nowNanos;
        if (mTokens < 1) {
            throw new EtcdException(429, 8, "etcdserver: too many requests");
        }
        mTokens--;
    }
}
