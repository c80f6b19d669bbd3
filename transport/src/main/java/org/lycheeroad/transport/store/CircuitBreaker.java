package org.lycheeroad.transport.store;

/** Refuses calls after several consecutive failures; not thread-safe. */
final class CircuitBreaker {
    /** A single failure may be a lost connection; three in a row indicate an outage. */
    private static final int FAILURES_TO_OPEN = 3;

    private final ExponentialBackoff mBackoff;
    private int mConsecutiveFailures;
    private boolean mOpen;
    private long mRetryAtNanos;
    private boolean mTrialInFlight;

    CircuitBreaker(ExponentialBackoff backoff) {
        mBackoff = backoff;
    }

    boolean isOpen() {
        return mOpen;
    }

    /**
     * Returns whether a call may be sent; while the breaker is open, one trial call at a time may
     * be sent after each backoff delay.
     */
    boolean tryAcquire(long nowNanos) {
        if (!mOpen) {
            return true;
        }
        if (mTrialInFlight || nowNanos - mRetryAtNanos < 0) {
            return false;
        }
        mTrialInFlight = true;
        return true;
    }

    void onSuccess() {
        mConsecutiveFailures = 0;
        mOpen = false;
        mTrialInFlight = false;
        mBackoff.reset();
    }

    void onFailure(long nowNanos) {
        mConsecutiveFailures++;
        if (mConsecutiveFailures >= FAILURES_TO_OPEN || mTrialInFlight) {
            mOpen = true;
            mTrialInFlight = false;
            mRetryAtNanos = nowNanos + mBackoff.nextDelayMs() * 1_000_000;
        }
    }
}
