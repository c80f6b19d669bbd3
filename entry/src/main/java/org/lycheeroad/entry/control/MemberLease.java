package org.lycheeroad.entry.control;

import java.util.List;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.store.StoreOp;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;
import org.lycheeroad.transport.store.StoreException;

/** Keeps this entry's key in the store, by which entries find each other's addresses. */
final class MemberLease {
    private static final long TTL_SECONDS = 10;
    private static final long RENEWAL_INTERVAL_MILLIS = 3_000;

    private final MemberIdentity mSelf;
    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private long mLease;
    private long mNextCallAtMillis;
    private boolean mCallInProgress;

    MemberLease(MemberIdentity self, StoreClient store, ControlLoop loop) {
        mSelf = self;
        mStore = store;
        mLoop = loop;
    }

    void tick(long now) {
        if (mCallInProgress || now < mNextCallAtMillis) {
            return;
        }
        mCallInProgress = true;
        mNextCallAtMillis = now + RENEWAL_INTERVAL_MILLIS;
        if (mLease != 0) {
            mLoop.whenComplete(mStore.keepAlive(Mechanism.MEMBERS, mLease), this::onRenewed);
        } else {
            mLoop.whenComplete(mStore.grantLease(Mechanism.MEMBERS, TTL_SECONDS), this::onGranted);
        }
    }

    void stop() {
        if (mLease != 0) {
            mStore.revoke(Mechanism.MEMBERS, mLease);
            mLease = 0;
        }
    }

    private void onRenewed(Long ttl, Throwable failure) {
        mCallInProgress = false;
        boolean rejected =
                failure != null && StoreException.kindOf(failure) == StoreException.Kind.REJECTED;
        if (rejected || (failure == null && ttl == 0)) {
            mLease = 0;
            mNextCallAtMillis = 0;
        }
    }

    private void onGranted(Long lease, Throwable failure) {
        if (failure != null) {
            mCallInProgress = false;
            return;
        }
        String key = StoreKeys.memberKey(mSelf.id());
        StoreTxn txn =
                new StoreTxn(
                        List.of(),
                        List.of(new StoreOp.Put(key, Json.write(mSelf), lease)),
                        List.of());
        mLoop.whenComplete(
                mStore.txn(Mechanism.MEMBERS, txn),
                (answer, lost) -> {
                    mCallInProgress = false;
                    if (lost == null) {
                        mLease = lease;
                    }
                });
    }
}
