package org.lycheeroad.scheduler.owner;

import org.lycheeroad.scheduler.port.Clock;

/**
 * The period between the election of a VM as owner and its end as owner.
 *
 * <p>Orders may be sent only while {@link #isLeaseValid} returns true; it has to be checked before
 * each order.
 */
public final class Term {
    /** The clocks drift apart by more only if the wall clock jumps or the VM is suspended. */
    private static final long MAX_CLOCK_DRIFT_MS = 300;

    private final long mEpoch;
    private final long mOwnerRevision;
    private final long mLeaseId;
    private final Clock mClock;
    private final long mBeganAtMs;
    private volatile long mLeaseValidUntilMs;
    private volatile long mWallClockOffsetMs;
    private volatile boolean mEnded;

    Term(long epoch, long ownerRevision, long leaseId, Clock clock) {
        mEpoch = epoch;
        mOwnerRevision = ownerRevision;
        mLeaseId = leaseId;
        mClock = clock;
        mBeganAtMs = clock.monotonicMs();
    }

    /** Returns the epoch, which is the fencing token of all orders of this term. */
    public long epoch() {
        return mEpoch;
    }

    /**
     * Returns the revision of the owner key; all writes of this term require it to be unchanged.
     */
    public long ownerRevision() {
        return mOwnerRevision;
    }

    /** Returns a time by which the terms of all earlier owners had ended. */
    long beganAtMs() {
        return mBeganAtMs;
    }

    long leaseId() {
        return mLeaseId;
    }

    /**
     * Returns by how much the wall clock is ahead of the monotonic clock. It is too low, which at
     * most invalidates a lease, if the VM is suspended or pauses between the two readings.
     */
    static long wallClockOffsetMs(Clock clock) {
        return clock.wallMs() - clock.monotonicMs();
    }

    /**
     * Extends the lease up to a time on the monotonic clock; calls may come out of order, and an
     * earlier time has no effect.
     *
     * @param wallClockOffsetMs the offset when the renewal was requested; one that is read after
     *     the reply would hide a suspension of the VM in between
     */
    void extendLease(long validUntilMs, long wallClockOffsetMs) {
        if (validUntilMs >= mLeaseValidUntilMs) {
            mWallClockOffsetMs = wallClockOffsetMs;
            mLeaseValidUntilMs = validUntilMs;
        }
    }

    void end() {
        mEnded = true;
    }

    /** Returns whether the term has ended. */
    public boolean isEnded() {
        return mEnded;
    }

    /**
     * Returns whether the lease is certain not to have expired.
     *
     * <p>The monotonic clock stops while the VM is suspended, but the wall clock does not.
     * Therefore the lease counts as expired when the two have drifted apart since the last renewal
     * was requested, until it is renewed again.
     */
    public boolean isLeaseValid() {
        long monotonicMs = mClock.monotonicMs();
        long driftMs = mClock.wallMs() - monotonicMs - mWallClockOffsetMs;
        return !mEnded
                && monotonicMs < mLeaseValidUntilMs
                && Math.abs(driftMs) < MAX_CLOCK_DRIFT_MS;
    }
}
