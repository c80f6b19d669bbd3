package org.lycheeroad.entry.control;

/**
 * Tells whether this entry may act as placement owner now.
 *
 * <p>Written on the control thread and read by any thread. Times are in milliseconds of {@link
 * ControlLoop#nowMillis()}.
 */
final class PlacementOwnership {
    /** Half of the role's store lease: after a longer pause another entry may hold the role. */
    private static final long MAX_CHECK_AGE_MILLIS = 1_000;

    private volatile long mToken;
    private volatile long mLastCheckAtMillis;

    /** The election gave this entry the role with a fencing token. */
    void onGained(long token, long now) {
        mToken = token;
        mLastCheckAtMillis = now;
    }

    /** The election took the role from this entry. */
    void onLost() {
        mToken = 0;
    }

    /** The control thread has just checked its elections for a pause. */
    void onElectionChecked(long now) {
        mLastCheckAtMillis = now;
    }

    /** Returns whether the control thread has checked its elections recently. */
    boolean isRecentlyChecked() {
        return ControlLoop.nowMillis() - mLastCheckAtMillis <= MAX_CHECK_AGE_MILLIS;
    }

    /** Returns the fencing token of the role, or 0 when this entry does not hold it. */
    long token() {
        return mToken;
    }

    /** Returns whether the entry may act with a fencing token. */
    boolean mayAct(long token) {
        return token == mToken && isRecentlyChecked();
    }
}
