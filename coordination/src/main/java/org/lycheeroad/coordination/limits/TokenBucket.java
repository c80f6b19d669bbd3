package org.lycheeroad.coordination.limits;

/** Admits requests at a rate that may change, with a bounded burst. */
public final class TokenBucket {
    /** The burst is what the rate brings in this time, so that a changed share acts at once. */
    public static final long BURST_MICROS = 250_000;

    private static final double MICROS_PER_SECOND = 1e6;

    private double mRatePerSecond;
    private double mTokens;
    private long mLastRefillMicros;

    /** Creates a full bucket. */
    public TokenBucket(double perSecond, long nowMicros) {
        mRatePerSecond = perSecond;
        mTokens = capacity();
        mLastRefillMicros = nowMicros;
    }

    /** Changes the rate; tokens above the new burst are lost. */
    public void setRate(double perSecond, long nowMicros) {
        refill(nowMicros);
        mRatePerSecond = perSecond;
        mTokens = Math.min(mTokens, capacity());
    }

    /** Tells whether {@link #tryTake} would succeed. */
    public boolean hasToken(long nowMicros) {
        refill(nowMicros);
        return mTokens >= 1;
    }

    /** Takes a token if there is one. */
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
        long elapsed = Math.max(0, nowMicros - mLastRefillMicros);
        mTokens = Math.min(capacity(), mTokens + elapsed * mRatePerSecond / MICROS_PER_SECOND);
        mLastRefillMicros += elapsed;
    }

    /**
     * At least one token, as a rate below 4 per second could otherwise never save up a whole one.
     */
    private double capacity() {
        return mRatePerSecond <= 0
                ? 0
                : Math.max(1, mRatePerSecond * BURST_MICROS / MICROS_PER_SECOND);
    }
}
