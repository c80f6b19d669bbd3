package org.lycheeroad.coordination.roles;

import java.util.Optional;

/** What the store last said about a role; times are in milliseconds of a monotonic clock. */
final class StoreView {
    private final long mStoreTimeoutMillis;
    private boolean mRoleRead;
    private Optional<StoredRole> mHolder = Optional.empty();
    private long mVacantSinceMillis;
    private long mLastResponseSentAtMillis = Long.MIN_VALUE / 2;

    /** Creates the view of a store that counts as down after a time without an answer. */
    StoreView(long downMillis) {
        mStoreTimeoutMillis = downMillis;
    }

    /** The store named this holder of the role, or none. */
    void onRead(Optional<StoredRole> holder, long now) {
        boolean wasAbsent = isVacant();
        mRoleRead = true;
        mHolder = holder;
        if (holder.isEmpty() && !wasAbsent) {
            mVacantSinceMillis = now;
        }
    }

    /** The store answered a call that was sent at the time. */
    void onResponse(long sentAt) {
        mLastResponseSentAtMillis = Math.max(mLastResponseSentAtMillis, sentAt);
    }

    /** Returns whether the store answered recently. */
    boolean isReachable(long now) {
        return now - mLastResponseSentAtMillis <= mStoreTimeoutMillis;
    }

    /** Returns whether the role was read at all. */
    boolean isRoleRead() {
        return mRoleRead;
    }

    /** Returns whether the role was read and has no holder. */
    boolean isVacant() {
        return mRoleRead && mHolder.isEmpty();
    }

    /** Returns for how long the role has had no holder, if it is vacant. */
    long vacantMillis(long now) {
        return now - mVacantSinceMillis;
    }

    Optional<StoredRole> holder() {
        return mHolder;
    }

    /** Returns whether the stored holder has exactly this token. */
    boolean isHeldWith(long token) {
        return mHolder.isPresent() && mHolder.get().token() == token;
    }
}
