package org.lycheeroad.transport.store;

/** Limits a rate of calls; not safe for use by several threads at once. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mTokensPerSecond;
    private final double mCapacity;
    private double mTokens;
    private long mLastRefillNanos;

    TokenBucket(double perSecond, double burst, long nowNanos) {
        mTokensPerSecond = perSecond;
        mCapacity = burst;
        mTokens = burst;
        mLastRefillNanos = nowNanos;
    }

    /** Takes a token unless that leaves fewer than {@code reserve}. */
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
