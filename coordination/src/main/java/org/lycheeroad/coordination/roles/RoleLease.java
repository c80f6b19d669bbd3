package org.lycheeroad.coordination.roles;

/** The store lease under which a holder is named; times are in milliseconds. */
final class RoleLease {
    private final long mLeaseMillis;
    private boolean mHeld;
    private long mExpiresAtMillis;

    RoleLease(long leaseMillis) {
        mLeaseMillis = leaseMillis;
    }

    /** A lease was granted by a call that was sent at the time, and may have expired since. */
    void onGranted(long sentAt, long now) {
        mExpiresAtMillis = sentAt + mLeaseMillis;
        mHeld = mExpiresAtMillis > now;
    }

    /** The lease was renewed by a call that was sent at the time. */
    void onRenewed(long sentAt, long now) {
        mExpiresAtMillis = Math.max(mExpiresAtMillis, sentAt + mLeaseMillis);
        mHeld = mExpiresAtMillis > now;
    }

    /** The lease is lost or was given up. */
    void end() {
        mHeld = false;
    }

    /** Ends the lease if its time is over. */
    void endIfExpired(long now) {
        if (now >= mExpiresAtMillis) {
            mHeld = false;
        }
    }

    /** Returns whether the lease was held at the last grant, renewal or check for expiry. */
    boolean isHeld() {
        return mHeld;
    }

    /** Returns whether the lease is held and was last extended at the time or later. */
    boolean wasExtendedSince(long time) {
        return mHeld && mExpiresAtMillis - mLeaseMillis >= time;
    }
}
