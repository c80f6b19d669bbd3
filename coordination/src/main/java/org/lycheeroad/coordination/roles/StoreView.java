package org.lycheeroad.coordination.roles;

import java.util.Optional;

/**
 * The latest state of a role read from the store, and whether the store is reachable.
 *
 * <p>Times are in milliseconds of a monotonic clock.
 */
final class StoreView {
    private final long mStoreTimeoutMillis;
    private boolean mRoleRead;
    private Optional<StoredRole> mHolder = Optional.empty();
    private long mVacantSinceMillis;
    private long mLastAnsweredCallAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a view of a role that has not been read yet.
     *
     * @param storeTimeoutMillis the time without a response after which the store is unreachable
     */
    StoreView(long storeTimeoutMillis) {
        mStoreTimeoutMillis = storeTimeoutMillis;
    }

    /** Records the holder that was read from the store, or empty if the key is absent. */
    void onRead(Optional<StoredRole> holder, long nowMillis) {
        boolean wasVacant = isVacant();
        mRoleRead = true;
        mHolder = holder;
        if (holder.isEmpty() && !wasVacant) {
            mVacantSinceMillis = nowMillis;
        }
    }

    /** Records that the store responded to a call sent at the given time. */
    void onResponse(long sentAtMillis) {
        mLastAnsweredCallAtMillis = Math.max(mLastAnsweredCallAtMillis, sentAtMillis);
    }

    /** Returns whether a call sent within the store timeout has been answered. */
    boolean isReachable(long nowMillis) {
        return nowMillis - mLastAnsweredCallAtMillis <= mStoreTimeoutMillis;
    }

    /** Returns whether the role has been read at least once. */
    boolean isRoleRead() {
        return mRoleRead;
    }

    /** Returns whether the role has been read and has no holder. */
    boolean isVacant() {
        return mRoleRead && mHolder.isEmpty();
    }

    /** Returns for how long the role has had no holder; valid only if it is vacant. */
    long vacantMillis(long nowMillis) {
        return nowMillis - mVacantSinceMillis;
    }

    Optional<StoredRole> holder() {
        return mHolder;
    }

    /** Returns whether the store names a holder with this token. */
    boolean isHeldWith(long token) {
        return mHolder.isPresent() && mHolder.get().token() == token;
    }
}
