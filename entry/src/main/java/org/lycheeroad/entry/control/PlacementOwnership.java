package org.lycheeroad.entry.control;

/**
 * Tracks whether this entry may act as placement owner.
 *
 * <p>Written on the control thread and read by any thread. Times are in milliseconds of {@link
 * ControlLoop#nowMillis()}.
 */
final class PlacementOwnership {
    /** Half of the role's store lease; after a longer pause, another entry may hold the role. */
    private static final long MAX_CHECK_AGE_MILLIS = 1_000;

    private volatile long mHeldToken;
    private volatile long mLastCheckAtMillis;

    /** Records that this entry acquired the role with a fencing token. */
    void onGained(long token, long nowMillis) {
        mHeldToken = token;
        mLastCheckAtMillis = nowMillis;
    }

    /** Records that this entry lost the role. */
    void onLost() {
        mHeldToken = 0;
    }

    /** Records that the control thread has just checked the elections for a pause. */
    void onElectionChecked(long nowMillis) {
        mLastCheckAtMillis = nowMillis;
    }

    /** Returns whether the control thread has checked the elections recently. */
    boolean isRecentlyChecked() {
        return ControlLoop.nowMillis() - mLastCheckAtMillis <= MAX_CHECK_AGE_MILLIS;
    }

    /** Returns the fencing token of the role, or 0 when this entry does not hold it. */
    long heldToken() {
        return mHeldToken;
    }

    /** Returns whether this entry may act with a fencing token. */
    boolean mayAct(long token) {
        return token == mHeldToken && isRecentlyChecked();
    }
}
