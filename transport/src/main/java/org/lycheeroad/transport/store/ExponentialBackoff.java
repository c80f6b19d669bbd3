package org.lycheeroad.transport.store;

import java.util.Random;

/** Computes exponentially growing delays with jitter between attempts; not thread-safe. */
public final class ExponentialBackoff {
    private static final int MAX_DOUBLINGS = 20;

    private final long mFirstDelayMs;
    private final long mMaxDelayMs;
    private final Random mRandom;
    private int mAttempts;

    /**
     * Creates a backoff.
     *
     * @param firstDelayMs the upper bound of the first delay; the bound doubles up to {@code
     *     maxDelayMs}
     * @param random the seeded source of the jitter
     */
    public ExponentialBackoff(long firstDelayMs, long maxDelayMs, Random random) {
        mFirstDelayMs = firstDelayMs;
        mMaxDelayMs = maxDelayMs;
        mRandom = random;
    }

    /** Returns the next delay, which is between half of its upper bound and the bound. */
    public long nextDelayMs() {
        long boundMs = Math.min(mMaxDelayMs, mFirstDelayMs << Math.min(MAX_DOUBLINGS, mAttempts));
        mAttempts++;
        return boundMs / 2 + (long) (mRandom.nextDouble() * (boundMs - boundMs / 2));
    }

    /** Resets the upper bound to that of the first delay. */
    public void reset() {
        mAttempts = 0;
    }
}
