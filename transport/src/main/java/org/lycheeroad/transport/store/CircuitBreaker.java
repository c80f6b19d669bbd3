package org.lycheeroad.transport.store;

/** Refuses calls after several failures in a row; not safe for use by several threads at once. */
final class CircuitBreaker {
    /** One failure may be a single lost connection; three in a row are an outage. */
    private static final int FAILURES_TO_OPEN = 3;

    private final ExponentialBackoff mBackoff;
    private int mConsecutiveFailures;
    private boolean mOpen;
    private long mRetryAtNanos;
    private boolean mTrialInFlight;

    CircuitBreaker(ExponentialBackoff backOff) {
        mBackoff = backOff;
    }

    boolean isOpen() {
        return mOpen;
    }

    /** Returns whether a call may go out; while open, one trial call at a time does so. */
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
