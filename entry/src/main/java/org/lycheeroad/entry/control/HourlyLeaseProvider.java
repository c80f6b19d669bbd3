package org.lycheeroad.entry.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;

/** Provides one shared lease per hour, so that keys end by themselves without a lease each. */
final class HourlyLeaseProvider {
    /** A key written at the end of the hour still stays for 24 h. */
    private static final long TTL_SECONDS = TimeUnit.HOURS.toSeconds(25);

    private static final long ROTATION_INTERVAL_MILLIS = TimeUnit.HOURS.toMillis(1);

    private final StoreClient mStore;
    private CompletableFuture<Long> mLease;
    private long mRequestedAtMillis;

    HourlyLeaseProvider(StoreClient store) {
        mStore = store;
    }

    /** Returns the lease of this hour; it is asked for again after a failure. */
    synchronized CompletableFuture<Long> currentLease() {
        long now = ControlLoop.nowMillis();
        boolean missing = mLease == null || mLease.isCompletedExceptionally();
        if (missing || now - mRequestedAtMillis > ROTATION_INTERVAL_MILLIS) {
            mRequestedAtMillis = now;
            mLease = mStore.grantLease(Mechanism.CLAIMS, TTL_SECONDS);
        }
        return mLease;
    }

    /** Drops a lease that the store does not know. */
    synchronized void invalidate() {
        mLease = null;
    }
}
