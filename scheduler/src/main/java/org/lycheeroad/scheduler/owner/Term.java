package org.lycheeroad.scheduler.owner;

import org.lycheeroad.scheduler.port.Clock;

/**
 * One VM's time as owner.
 *
 * <p>Orders may be sent only while {@link #isLeaseValid} is true; it is checked before each.
 */
public final class Term {
    /** The steady and the wall clock differ by more only after a jump or a pause of the VM. */
    private static final long MAX_CLOCK_DRIFT_MS = 300;

    private final long mEpoch;
    private final long mOwnerRevision;
    private final long mLeaseId;
    private final Clock mClock;
    private volatile long mLeaseValidUntilMs;
    private volatile long mWallClockOffsetMs;
    private volatile boolean mEnded;

    Term(long epoch, long ownerRevision, long lease, Clock clock) {
        mEpoch = epoch;
        mOwnerRevision = ownerRevision;
        mLeaseId = lease;
        mClock = clock;
    }

    /** Returns the fencing token of all orders of this term. */
    public long epoch() {
        return mEpoch;
    }

    /** Returns the revision of the owner's key, which all writes of the term require. */
    public long ownerRevision() {
        return mOwnerRevision;
    }

    long leaseId() {
        return mLeaseId;
    }

    /** Extends the term to a moment of the steady clock; answers may come out of order. */
    void extendLease(long untilMs) {
        mWallClockOffsetMs = mClock.wallMs() - mClock.monotonicMs();
        mLeaseValidUntilMs = Math.max(mLeaseValidUntilMs, untilMs);
    }

    void end() {
        mEnded = true;
    }

    /** Returns whether the term has ended for good. */
    public boolean isEnded() {
        return mEnded;
    }

    /**
     * Returns whether the lease certainly stands.
     *
     * <p>The steady clock does not count the time for which a VM is suspended; the wall clock does,
     * so a difference between the two ends the permission until the next renewal.
     */
    public boolean isLeaseValid() {
        long steady = mClock.monotonicMs();
        long drift = mClock.wallMs() - steady - mWallClockOffsetMs;
        return !mEnded && steady < mLeaseValidUntilMs && Math.abs(drift) < MAX_CLOCK_DRIFT_MS;
    }
}
