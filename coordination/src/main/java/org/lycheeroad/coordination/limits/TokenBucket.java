package org.lycheeroad.coordination.limits;

/** Admits requests at a rate that may change, with a bounded burst. */
public final class TokenBucket {
    /**
     * The capacity of the bucket is what the rate brings in this time. It is short, so that a
     * changed share takes effect at once.
     */
    public static final long BURST_MICROS = 250_000;

    private static final double MICROS_PER_SECOND = 1e6;

    private double mRatePerSecond;
    private double mTokens;
    private long mLastRefillMicros;

    /** Creates a full bucket. */
    public TokenBucket(double ratePerSecond, long nowMicros) {
        mRatePerSecond = ratePerSecond;
        mTokens = capacity();
        mLastRefillMicros = nowMicros;
    }

    /** Changes the rate; tokens above the new capacity are discarded. */
    public void setRate(double ratePerSecond, long nowMicros) {
        refill(nowMicros);
        mRatePerSecond = ratePerSecond;
        mTokens = Math.min(mTokens, capacity());
    }

    /** Returns whether {@link #tryTake} would succeed. */
    public boolean hasToken(long nowMicros) {
        refill(nowMicros);
        return mTokens >= 1;
    }

    /** Takes a token if one is available, and returns whether it did. */
    public boolean tryTake(long nowMicros) {
        if (!hasToken(nowMicros)) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Returns the rate in requests per second. */
    public double ratePerSecond() {
        return mRatePerSecond;
    }

    private void refill(long nowMicros) {
        long elapsedMicros = Math.max(0, nowMicros - mLastRefillMicros);
        mTokens =
                Math.min(capacity(), mTokens + elapsedMicros * mRatePerSecond / MICROS_PER_SECOND);
        mLastRefillMicros += elapsedMicros;
    }

    /**
     * Returns the greatest number of tokens: at least one, since a rate below 4 per second could
     * otherwise never accumulate a whole token.
     */
    private double capacity() {
        return mRatePerSecond <= 0
                ? 0
                : Math.max(1, mRatePerSecond * BURST_MICROS / MICROS_PER_SECOND);
    }
}
