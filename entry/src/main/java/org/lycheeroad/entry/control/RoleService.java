package org.lycheeroad.entry.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.lycheeroad.coordination.roles.RoleAction;
import org.lycheeroad.coordination.roles.RoleElection;
import org.lycheeroad.coordination.roles.RoleEvent;
import org.lycheeroad.coordination.roles.RoleSettings;
import org.lycheeroad.coordination.roles.StoredRole;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.StoreCompare;
import org.lycheeroad.protocol.store.StoreOp;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnResponse;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;
import org.lycheeroad.transport.store.StoreException;

/** Runs the election of one role with the store; all methods run on the control thread. */
final class RoleService {
    /** Receives the decisions of the election. */
    interface Listener {
        /** Called when this entry acquires the role and may act with the token. */
        void onGained(long token);

        /** Called when this entry loses the role and must stop acting. */
        void onLost(long token, String reason);

        /** Called when a vote or token should be announced to peers immediately. */
        void onAnnouncementNeeded();

        /** Called when a peer should be asked to take over the role. */
        void onHandoverOffer(EntryId to, String role, long token);
    }

    private static final long LEASE_TTL_SECONDS = 2;

    private final String mRoleName;
    private final EntryId mLocalEntry;
    private final long mInstance;
    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private final Listener mListener;
    private final RoleElection mElection;
    private KeyValue mHolderKey;
    private KeyValue mTokenKey;
    private long mHolderRevision;
    private long mLeaseId;
    private boolean mRenewalInProgress;

    RoleService(
            String role,
            RoleSettings settings,
            ControlSettings control,
            StoreClient store,
            ControlLoop loop,
            Listener listener) {
        mRoleName = role;
        mLocalEntry = control.entry();
        mInstance = control.instance();
        mStore = store;
        mLoop = loop;
        mListener = listener;
        mElection = new RoleElection(mLocalEntry, settings, ControlLoop.nowMillis());
    }

    String roleName() {
        return mRoleName;
    }

    RoleElection election() {
        return mElection;
    }

    /** Passes an event to the election and performs the resulting actions. */
    void handle(RoleEvent event) {
        for (RoleAction action : mElection.handle(event, ControlLoop.nowMillis())) {
            performAction(action);
        }
    }

    /** Processes the role's keys as read at a revision; null stands for an absent key. */
    void onKeysRead(KeyValue holder, KeyValue token, long revision) {
        if (revision < mHolderRevision) {
            return;
        }
        mHolderRevision = revision;
        mHolderKey = holder;
        if (token != null && (mTokenKey == null || token.modRevision() > mTokenKey.modRevision())) {
            mTokenKey = token;
        }
        Optional<StoredRole> stored = Optional.empty();
        if (holder != null) {
            try {
                stored = Optional.of(Json.read(holder.value(), StoredRole.class));
            } catch (JsonException e) {
                // A holder that cannot be parsed is replaced once its lease has expired.
                stored = Optional.of(new StoredRole(new EntryId("unreadable"), 0, 0));
            }
        }
        handle(new RoleEvent.StoreRead(stored, highestStoredToken()));
    }

    /** Processes a change of the holder's key from the watch. */
    void onHolderChanged(KeyValue holder, long revision) {
        onKeysRead(holder, mTokenKey, revision);
    }

    /** Processes a change of the token's key from the watch. */
    void onTokenChanged(KeyValue token) {
        onKeysRead(mHolderKey, token, Math.max(mHolderRevision, token.modRevision()));
    }

    /** Releases the role at shutdown. */
    void stop() {
        long heldToken = mElection.heldToken();
        if (heldToken != 0) {
            mListener.onLost(heldToken, "stopped");
        }
        revokeLease();
    }

    private void performAction(RoleAction action) {
        if (action instanceof RoleAction.Acquire a) {
            acquire(a.token(), a.replacedToken());
        } else if (action instanceof RoleAction.RenewLease) {
            renewLease();
        } else if (action instanceof RoleAction.Release) {
            revokeLease();
        } else if (action instanceof RoleAction.Gained a) {
            mListener.onGained(a.token());
        } else if (action instanceof RoleAction.Lost a) {
            mListener.onLost(a.token(), a.reason());
        } else if (action instanceof RoleAction.Announce) {
            mListener.onAnnouncementNeeded();
        } else if (action instanceof RoleAction.OfferHandover a) {
            mListener.onHandoverOffer(a.to(), mRoleName, a.token());
        }
    }

    private void acquire(long token, long replacedToken) {
        long sentAtMillis = ControlLoop.nowMillis();
        if (replacedToken == 0 ? mHolderKey != null : mHolderKey == null) {
            handle(new RoleEvent.AcquireFailed());
            return;
        }
        KeyValue expected = mHolderKey;
        mLoop.whenComplete(
                mStore.grantLease(Mechanism.ROLES, LEASE_TTL_SECONDS),
                (leaseId, failure) -> {
                    if (failure != null) {
                        handle(new RoleEvent.AcquireFailed());
                    } else if (!Objects.equals(expected, mHolderKey)
                            || highestStoredToken() > token) {
                        mStore.revokeLease(Mechanism.ROLES, leaseId);
                        handle(new RoleEvent.AcquireFailed());
                    } else {
                        writeHolder(token, leaseId, sentAtMillis);
                    }
                });
    }

    private void writeHolder(long token, long leaseId, long sentAtMillis) {
        String holderKey = StoreKeys.roleHolderKey(mRoleName);
        String tokenKey = StoreKeys.roleTokenKey(mRoleName);
        String value = Json.write(new StoredRole(mLocalEntry, mInstance, token));
        long holderRevision = mHolderKey == null ? 0 : mHolderKey.modRevision();
        long tokenRevision = mTokenKey == null ? 0 : mTokenKey.modRevision();
        StoreTxn txn =
                new StoreTxn(
                        List.of(
                                StoreCompare.unchangedSince(holderKey, holderRevision),
                                StoreCompare.unchangedSince(tokenKey, tokenRevision)),
                        List.of(
                                new StoreOp.Put(holderKey, value, leaseId),
                                StoreOp.put(tokenKey, Long.toString(token))),
                        List.of(StoreOp.get(holderKey), StoreOp.get(tokenKey)));
        mLoop.whenComplete(
                mStore.txn(Mechanism.ROLES, txn),
                (answer, failure) ->
                        onWritten(token, leaseId, sentAtMillis, value, answer, failure));
    }

    private void onWritten(
            long token,
            long leaseId,
            long sentAtMillis,
            String value,
            TxnResponse answer,
            Throwable failure) {
        if (failure != null) {
            // If the write still takes effect, its lease is revoked or expires.
            mStore.revokeLease(Mechanism.ROLES, leaseId);
            handle(new RoleEvent.AcquireFailed());
            return;
        }
        if (!answer.succeeded()) {
            mStore.revokeLease(Mechanism.ROLES, leaseId);
            handle(new RoleEvent.AcquireFailed());
            onKeysRead(answer.firstKeyValue(0), answer.firstKeyValue(1), answer.revision());
            return;
        }
        mLeaseId = leaseId;
        long revision = answer.revision();
        mHolderRevision = Math.max(mHolderRevision, revision);
        mHolderKey =
                new KeyValue(
                        StoreKeys.roleHolderKey(mRoleName), value, revision, revision, 1, leaseId);
        mTokenKey =
                new KeyValue(
                        StoreKeys.roleTokenKey(mRoleName),
                        Long.toString(token),
                        revision,
                        revision,
                        1,
                        0);
        handle(
                new RoleEvent.StoreRead(
                        Optional.of(new StoredRole(mLocalEntry, mInstance, token)),
                        highestStoredToken()));
        handle(new RoleEvent.Acquired(token, sentAtMillis));
    }

    private void renewLease() {
        if (mLeaseId == 0) {
            handle(new RoleEvent.LeaseLost());
            return;
        }
        if (mRenewalInProgress) {
            return;
        }
        mRenewalInProgress = true;
        long leaseId = mLeaseId;
        long sentAtMillis = ControlLoop.nowMillis();
        mLoop.whenComplete(
                mStore.keepAlive(Mechanism.ROLES, leaseId),
                (ttlSeconds, failure) -> {
                    mRenewalInProgress = false;
                    if (failure == null && leaseId == mLeaseId) {
                        handle(
                                ttlSeconds > 0
                                        ? new RoleEvent.LeaseRenewed(sentAtMillis)
                                        : new RoleEvent.LeaseLost());
                    } else if (failure != null
                            && StoreException.kindOf(failure) == StoreException.Kind.REJECTED) {
                        handle(new RoleEvent.LeaseLost());
                    }
                });
    }

    private void revokeLease() {
        if (mLeaseId != 0) {
            mStore.revokeLease(Mechanism.ROLES, mLeaseId);
            mLeaseId = 0;
        }
    }

    private long highestStoredToken() {
        try {
            return mTokenKey == null ? 0 : Long.parseLong(mTokenKey.value());
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
