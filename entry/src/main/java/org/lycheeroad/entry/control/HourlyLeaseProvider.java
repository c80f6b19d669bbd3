package org.lycheeroad.entry.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;

/** Provides one shared lease per hour, so that keys expire without a lease of their own. */
final class HourlyLeaseProvider {
    /** Keeps a key that is written at the end of the hour for 24 h. */
    private static final long TTL_SECONDS = TimeUnit.HOURS.toSeconds(25);

    private static final long ROTATION_INTERVAL_MILLIS = TimeUnit.HOURS.toMillis(1);

    private final StoreClient mStore;
    private CompletableFuture<Long> mLease;
    private long mRequestedAtMillis;

    HourlyLeaseProvider(StoreClient store) {
        mStore = store;
    }

    /** Returns the lease of this hour, requesting a new one if the last request failed. */
    synchronized CompletableFuture<Long> currentLease() {
        long nowMillis = ControlLoop.nowMillis();
        boolean missing = mLease == null || mLease.isCompletedExceptionally();
        if (missing || nowMillis - mRequestedAtMillis > ROTATION_INTERVAL_MILLIS) {
            mRequestedAtMillis = nowMillis;
            mLease = mStore.grantLease(Mechanism.CLAIMS, TTL_SECONDS);
        }
        return mLease;
    }

    /** Discards the current lease, which the store may no longer know. */
    synchronized void invalidate() {
        mLease = null;
    }
}
