package org.lycheeroad.coordination.roles;

/**
 * The store lease that the holder's key is attached to, as known to the holder.
 *
 * <p>The lease is counted from the time at which a call was sent, so that it never ends later here
 * than in the store. Times are in milliseconds of a monotonic clock.
 */
final class RoleLease {
    private final long mLeaseMillis;
    private boolean mHeld;
    private long mExpiresAtMillis;

    RoleLease(long leaseMillis) {
        mLeaseMillis = leaseMillis;
    }

    /** Records a lease granted by a call sent at the given time; it may have expired since. */
    void onGranted(long sentAtMillis, long nowMillis) {
        mExpiresAtMillis = sentAtMillis + mLeaseMillis;
        mHeld = mExpiresAtMillis > nowMillis;
    }

    /** Records a renewal by a call sent at the given time. */
    void onRenewed(long sentAtMillis, long nowMillis) {
        mExpiresAtMillis = Math.max(mExpiresAtMillis, sentAtMillis + mLeaseMillis);
        mHeld = mExpiresAtMillis > nowMillis;
    }

    /** Marks the lease as lost or released. */
    void end() {
        mHeld = false;
    }

    /** Marks the lease as lost if it has expired. */
    void endIfExpired(long nowMillis) {
        if (nowMillis >= mExpiresAtMillis) {
            mHeld = false;
        }
    }

    /** Returns whether the lease was held at the last grant, renewal or expiry check. */
    boolean isHeld() {
        return mHeld;
    }

    /** Returns whether the lease is held and was granted or renewed at or after a time. */
    boolean wasExtendedSince(long timeMillis) {
        return mHeld && mExpiresAtMillis - mLeaseMillis >= timeMillis;
    }
}
