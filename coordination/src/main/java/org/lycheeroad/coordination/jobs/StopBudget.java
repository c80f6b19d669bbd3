package org.lycheeroad.coordination.jobs;

/** Bounds the work that stops may throw away, by a share of the capacity that shrinks with room. */
final class StopBudget {
    /** The share of the capacity that may be thrown away while all of it is free. */
    private static final double MAX_SHARE = 0.3;

    /** The share of the capacity that may be thrown away while none of it is free. */
    private static final double MIN_SHARE = 0.1;

    /** How long the budget accrues without being used. */
    private static final long MAX_ACCRUAL_MS = 10_000;

    private double mCoreMs;
    private double mMaxCoreMs;
    private long mRefilledAtMs = -1;

    /**
     * Adds what has accrued since the last call.
     *
     * @param cores the cluster's capacity in core equivalents
     * @param freeShare the free share of the scarcest resource, from 0 to 1
     */
    void refill(double cores, double freeShare, long nowMs) {
        if (mRefilledAtMs >= 0) {
            double coresPerMs = cores * (MIN_SHARE + (MAX_SHARE - MIN_SHARE) * freeShare);
            mMaxCoreMs = coresPerMs * MAX_ACCRUAL_MS;
            mCoreMs = Math.min(mMaxCoreMs, mCoreMs + coresPerMs * (nowMs - mRefilledAtMs));
        }
        mRefilledAtMs = nowMs;
    }

    /** Returns whether something is left; the last stop may exceed it, the next then waits. */
    boolean isLeft() {
        return mCoreMs > 0;
    }

    /** Takes lost work off the budget, up to a debt as large as the budget. */
    void charge(double coreMs) {
        mCoreMs = Math.max(-mMaxCoreMs, mCoreMs - coreMs);
    }
}
