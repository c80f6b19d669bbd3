package org.lycheeroad.entry.control;

import java.util.List;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.store.StoreOp;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;
import org.lycheeroad.transport.store.StoreException;

/** Maintains this entry's membership key, by which entries discover each other's addresses. */
final class MemberLease {
    private static final long TTL_SECONDS = 10;
    private static final long RENEWAL_INTERVAL_MILLIS = 3_000;

    private final MemberIdentity mSelf;
    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private long mLeaseId;
    private long mNextCallAtMillis;
    private boolean mCallInProgress;

    MemberLease(MemberIdentity self, StoreClient store, ControlLoop loop) {
        mSelf = self;
        mStore = store;
        mLoop = loop;
    }

    void tick(long nowMillis) {
        if (mCallInProgress || nowMillis < mNextCallAtMillis) {
            return;
        }
        mCallInProgress = true;
        mNextCallAtMillis = nowMillis + RENEWAL_INTERVAL_MILLIS;
        if (mLeaseId != 0) {
            mLoop.whenComplete(mStore.keepAlive(Mechanism.MEMBERS, mLeaseId), this::onRenewed);
        } else {
            mLoop.whenComplete(mStore.grantLease(Mechanism.MEMBERS, TTL_SECONDS), this::onGranted);
        }
    }

    void stop() {
        if (mLeaseId != 0) {
            mStore.revokeLease(Mechanism.MEMBERS, mLeaseId);
            mLeaseId = 0;
        }
    }

    private void onRenewed(Long ttlSeconds, Throwable failure) {
        mCallInProgress = false;
        boolean rejected =
                failure != null && StoreException.kindOf(failure) == StoreException.Kind.REJECTED;
        if (rejected || (failure == null && ttlSeconds == 0)) {
            mLeaseId = 0;
            mNextCallAtMillis = 0;
        }
    }

    private void onGranted(Long leaseId, Throwable failure) {
        if (failure != null) {
            mCallInProgress = false;
            return;
        }
        String key = StoreKeys.memberKey(mSelf.id());
        StoreTxn txn =
                new StoreTxn(
                        List.of(),
                        List.of(new StoreOp.Put(key, Json.write(mSelf), leaseId)),
                        List.of());
        mLoop.whenComplete(
                mStore.txn(Mechanism.MEMBERS, txn),
                (answer, writeFailure) -> {
                    mCallInProgress = false;
                    if (writeFailure == null) {
                        mLeaseId = leaseId;
                    }
                });
    }
}
