package org.lycheeroad.transport.store;

/** Token bucket that limits the rate of calls; not thread-safe. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mTokensPerSecond;
    private final double mCapacity;
    private double mTokens;
    private long mLastRefillNanos;

    TokenBucket(double tokensPerSecond, double capacity, long nowNanos) {
        mTokensPerSecond = tokensPerSecond;
        mCapacity = capacity;
        mTokens = capacity;
        mLastRefillNanos = nowNanos;
    }

    /** Takes a token unless fewer than {@code reserve} tokens would be left. */
    boolean tryAcquire(double reserve, long nowNanos) {
        double earned = (nowNanos - mLastRefillNanos) / NANOS_PER_SECOND * mTokensPerSecond;
        mTokens = Math.min(mCapacity, mTokens + earned);
        mLastRefillNanos = nowNanos;
        if (mTokens < 1 + reserve) {
            return false;
        }
        mTokens--;
        return true;
    }
}
