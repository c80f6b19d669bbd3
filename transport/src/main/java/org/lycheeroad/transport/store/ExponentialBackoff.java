package org.lycheeroad.transport.store;

import java.util.Random;

/** Computes growing, jittered waits between attempts; not safe for use by several threads. */
public final class ExponentialBackoff {
    private static final int MAX_DOUBLINGS = 20;

    private final long mFirstDelayMs;
    private final long mMaxDelayMs;
    private final Random mRandom;
    private int mAttempts;

    /**
     * Creates a back-off.
     *
     * @param firstMillis the upper bound of the first wait, which doubles up to {@code maxMillis}
     * @param random the seeded source of the jitter
     */
    public ExponentialBackoff(long firstMillis, long maxMillis, Random random) {
        mFirstDelayMs = firstMillis;
        mMaxDelayMs = maxMillis;
        mRandom = random;
    }

    /** Returns the next wait, between half of its upper bound and the bound. */
    public long nextDelayMs() {
        long bound = Math.min(mMaxDelayMs, mFirstDelayMs << Math.min(MAX_DOUBLINGS, mAttempts));
        mAttempts++;
        return bound / 2 + (long) (mRandom.nextDouble() * (bound - bound / 2));
    }

    /** Starts again with the first wait. */
    public void reset() {
        mAttempts = 0;
    }
}
