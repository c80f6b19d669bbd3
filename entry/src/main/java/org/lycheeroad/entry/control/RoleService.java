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

/** Runs the election of one role against the store; all methods run on the control thread. */
final class RoleService {
    /** What a role means to the rest of the control plane. */
    interface Listener {
        /** This entry may act with the token. */
        void onGained(long token);

        /** This entry must stop acting. */
        void onLost(long token, String reason);

        /** Peers should be told about a vote or token at once. */
        void onAnnounce();

        /** The peer should be asked to take the role over. */
        void onOffer(EntryId to, String role, long token);
    }

    private static final long LEASE_SECONDS = 2;

    private final String mRole;
    private final EntryId mSelf;
    private final long mInstance;
    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private final Listener mListener;
    private final RoleElection mElection;
    private KeyValue mHolderKey;
    private KeyValue mTokenKey;
    private long mHolderRevision;
    private long mLease;
    private boolean mRenewing;

    RoleService(
            String role,
            RoleSettings settings,
            ControlSettings control,
            StoreClient store,
            ControlLoop loop,
            Listener listener) {
        mRole = role;
        mSelf = control.entry();
        mInstance = control.instance();
        mStore = store;
        mLoop = loop;
        mListener = listener;
        mElection = new RoleElection(mSelf, settings, ControlLoop.now());
    }

    String role() {
        return mRole;
    }

    RoleElection election() {
        return mElection;
    }

    /** Passes an event to the election and carries out what it decides. */
    void handle(RoleEvent event) {
        for (RoleAction action : mElection.handle(event, ControlLoop.now())) {
            perform(action);
        }
    }

    /** Takes in the role's keys as read at a revision; a null key is absent. */
    void onKeys(KeyValue holder, KeyValue token, long revision) {
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
                // An unreadable holder is replaced once its lease has expired.
                stored = Optional.of(new StoredRole(new EntryId("unreadable"), 0, 0));
            }
        }
        handle(new RoleEvent.StoreRead(stored, counter()));
    }

    /** Takes in a change of the holder's key from the watch. */
    void onHolder(KeyValue holder, long revision) {
        onKeys(holder, mTokenKey, revision);
    }

    /** Takes in a change of the token's key from the watch. */
    void onToken(KeyValue token) {
        onKeys(mHolderKey, token, Math.max(mHolderRevision, token.modRevision()));
    }

    /** Gives the role up at the end of the entry. */
    void stop() {
        long held = mElection.heldToken();
        if (held != 0) {
            mListener.onLost(held, "stopped");
        }
        release();
    }

    private void perform(RoleAction action) {
        if (action instanceof RoleAction.Acquire a) {
            acquire(a.token(), a.replacedToken());
        } else if (action instanceof RoleAction.RenewLease) {
            renew();
        } else if (action instanceof RoleAction.Release) {
            release();
        } else if (action instanceof RoleAction.Gained a) {
            mListener.onGained(a.token());
        } else if (action instanceof RoleAction.Lost a) {
            mListener.onLost(a.token(), a.reason());
        } else if (action instanceof RoleAction.Announce) {
            mListener.onAnnounce();
        } else if (action instanceof RoleAction.OfferHandover a) {
            mListener.onOffer(a.to(), mRole, a.token());
        }
    }

    private void acquire(long token, long replaces) {
        long sentAt = ControlLoop.now();
        if (replaces == 0 ? mHolderKey != null : mHolderKey == null) {
            handle(new RoleEvent.AcquireFailed());
            return;
        }
        KeyValue expected = mHolderKey;
        mLoop.on(
                mStore.grantLease(Mechanism.ROLES, LEASE_SECONDS),
                (lease, failure) -> {
                    if (failure != null) {
                        handle(new RoleEvent.AcquireFailed());
                    } else if (!Objects.equals(expected, mHolderKey) || counter() > token) {
                        mStore.revokeLease(Mechanism.ROLES, lease);
                        handle(new RoleEvent.AcquireFailed());
                    } else {
                        write(token, lease, sentAt);
                    }
                });
    }

    private void write(long token, long lease, long sentAt) {
        String holderKey = StoreKeys.holder(mRole);
        String tokenKey = StoreKeys.token(mRole);
        String value = Json.write(new StoredRole(mSelf, mInstance, token));
        long holderRevision = mHolderKey == null ? 0 : mHolderKey.modRevision();
        long tokenRevision = mTokenKey == null ? 0 : mTokenKey.modRevision();
        StoreTxn txn =
                new StoreTxn(
                        List.of(
                                StoreCompare.unchangedSince(holderKey, holderRevision),
                                StoreCompare.unchangedSince(tokenKey, tokenRevision)),
                        List.of(
                                new StoreOp.Put(holderKey, value, lease),
                                StoreOp.put(tokenKey, Long.toString(token))),
                        List.of(StoreOp.get(holderKey), StoreOp.get(tokenKey)));
        mLoop.on(
                mStore.txn(Mechanism.ROLES, txn),
                (answer, failure) -> onWritten(token, lease, sentAt, value, answer, failure));
    }

    private void onWritten(
            long token,
            long lease,
            long sentAt,
            String value,
            TxnResponse answer,
            Throwable failure) {
        if (failure != null) {
            // A write that takes effect later names a lease that is revoked or expires.
            mStore.revokeLease(Mechanism.ROLES, lease);
            handle(new RoleEvent.AcquireFailed());
            return;
        }
        if (!answer.succeeded()) {
            mStore.revokeLease(Mechanism.ROLES, lease);
            handle(new RoleEvent.AcquireFailed());
            onKeys(answer.firstKeyValue(0), answer.firstKeyValue(1), answer.revision());
            return;
        }
        mLease = lease;
        long revision = answer.revision();
        mHolderRevision = Math.max(mHolderRevision, revision);
        mHolderKey = new KeyValue(StoreKeys.holder(mRole), value, revision, revision, 1, lease);
        mTokenKey =
                new KeyValue(
                        StoreKeys.token(mRole), Long.toString(token), revision, revision, 1, 0);
        handle(
                new RoleEvent.StoreRead(
                        Optional.of(new StoredRole(mSelf, mInstance, token)), counter()));
        handle(new RoleEvent.Acquired(token, sentAt));
    }

    private void renew() {
        if (mLease == 0) {
            handle(new RoleEvent.LeaseLost());
            return;
        }
        if (mRenewing) {
            return;
        }
        mRenewing = true;
        long lease = mLease;
        long sentAt = ControlLoop.now();
        mLoop.on(
                mStore.keepAlive(Mechanism.ROLES, lease),
                (ttl, failure) -> {
                    mRenewing = false;
                    if (failure == null && lease == mLease) {
                        handle(
                                ttl > 0
                                        ? new RoleEvent.LeaseRenewed(sentAt)
                                        : new RoleEvent.LeaseLost());
                    } else if (failure != null
                            && StoreException.kindOf(failure) == StoreException.Kind.REJECTED) {
                        handle(new RoleEvent.LeaseLost());
                    }
                });
    }

    private void release() {
        if (mLease != 0) {
            mStore.revokeLease(Mechanism.ROLES, mLease);
            mLease = 0;
        }
    }

    private long counter() {
        try {
            return mTokenKey == null ? 0 : Long.parseLong(mTokenKey.value());
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
