package org.lycheeroad.scheduler.owner;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.PrefixWatch;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.CommitResult;
import org.lycheeroad.scheduler.port.MetadataStore.Condition;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.MetadataStore.Put;
import org.lycheeroad.scheduler.port.MetadataStore.Transaction;
import org.lycheeroad.state.event.EventCode;

/**
 * Elects the owner: the VM whose record stands in the store under a lease.
 *
 * <p>Each election raises the epoch in the same commit, so that no epoch is used twice. Each term
 * has a lease of its own.
 */
public final class Election {
    /** What the election tells, on its strand. */
    public interface Listener {
        /** This VM is owner. */
        void onElected(Term term);

        /** This VM is no longer owner. */
        void onTermEnded(Term term);
    }

    /** The time after which a dead owner is replaced; several times a slow store's answer. */
    private static final long LEASE_MS = 1_500;

    /**
     * Renewals do not wait for the answers to earlier ones, so that one lost answer does no harm.
     */
    private static final long RENEWAL_INTERVAL_MS = 350;

    /** Covers the store's own clock and the rounding of its timers. */
    private static final long LEASE_MARGIN_MS = 150;

    private static final long LONG_POLL_MS = 10_000;

    /** How long VMs far from the store leave the election to nearer ones, per ms of distance. */
    private static final long CAMPAIGN_DELAY_PER_RTT_MS = 6;

    private static final long MAX_CAMPAIGN_DELAY_MS = 900;
    private static final long RETRY_INTERVAL_MS = 200;

    private final MetadataStore mStore;
    private final SerialExecutor mExecutor;
    private final NodeSettings mSettings;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final Listener mListener;
    private final long mIncarnation;
    private final PrefixWatch mWatch;
    private volatile Optional<OwnerRecord> mOwner = Optional.empty();
    private Term mTerm;
    private boolean mOwnerKeyRead;
    private boolean mCampaigning;
    private boolean mStopped;
    private long mRttMs = 20;

    public Election(
            MetadataStore store,
            SerialExecutor strand,
            NodeSettings settings,
            Clock clock,
            EventRecorder events,
            Listener listener) {
        mStore = store;
        mExecutor = strand;
        mSettings = settings;
        mClock = clock;
        mEvents = events;
        mListener = listener;
        mIncarnation = clock.wallMs();
        mWatch =
                new PrefixWatch(
                        store, strand, StoreKeys.OWNER, LONG_POLL_MS, new OwnerKeyListener());
    }

    public void start() {
        mExecutor.execute(mWatch::start);
    }

    /** Gives up the ownership at once and takes part in no further election. */
    public void resign() {
        mExecutor.execute(
                () -> {
                    mStopped = true;
                    mWatch.stop();
                    Term term = mTerm;
                    if (term != null) {
                        endTerm("shutdown");
                        mExecutor.whenComplete(
                                mStore.revokeLease(term.leaseId()), (ended, e) -> {});
                    }
                });
    }

    /** Returns the owner that the store named last. */
    public Optional<OwnerRecord> owner() {
        return mOwner;
    }

    /** Returns whether an owner is this process. */
    public boolean isThisProcess(OwnerRecord owner) {
        return owner.name().equals(mSettings.name()) && owner.incarnation() == mIncarnation;
    }

    /** Ends the term because a worker or the store has shown a newer owner. */
    public void onSuperseded(Term term) {
        mExecutor.execute(
                () -> {
                    if (mTerm == term) {
                        endTerm("superseded");
                        mExecutor.whenComplete(
                                mStore.revokeLease(term.leaseId()),
                                (ended, e) -> scheduleCampaignIfVacant());
                    }
                });
    }

    private void scheduleCampaignIfVacant() {
        if (mOwnerKeyRead && mOwner.isEmpty() && mTerm == null && !mCampaigning && !mStopped) {
            mCampaigning = true;
            long delay = Math.min(MAX_CAMPAIGN_DELAY_MS, (mRttMs - 1) * CAMPAIGN_DELAY_PER_RTT_MS);
            mExecutor.schedule(Math.max(0, delay), this::campaign);
        }
    }

    private void campaign() {
        if (mOwner.isPresent() || mStopped) {
            mCampaigning = false;
            return;
        }
        long asked = mClock.monotonicMs();
        mExecutor.whenComplete(
                mStore.read(StoreKeys.EPOCH),
                (item, e) -> {
                    if (e != null) {
                        scheduleRetry();
                        return;
                    }
                    mRttMs = Math.max(1, mClock.monotonicMs() - asked);
                    grantLease(item);
                });
    }

    private void grantLease(Optional<KeyValue> epochItem) {
        long epoch;
        try {
            epoch =
                    epochItem.isEmpty()
                            ? 0
                            : Long.parseLong(epochItem.get().value().toStringUtf8());
        } catch (NumberFormatException e) {
            mEvents.record(EventCode.RECORD_UNREADABLE, "", "key=" + StoreKeys.EPOCH);
            scheduleRetry();
            return;
        }
        long asked = mClock.monotonicMs();
        mExecutor.whenComplete(
                mStore.grantLease(Math.max(LEASE_MS, mSettings.minStoreLeaseMs())),
                (lease, e) -> {
                    if (e != null) {
                        scheduleRetry();
                    } else {
                        commitOwnership(
                                epoch + 1,
                                epochItem.map(KeyValue::revision).orElse(0L),
                                lease,
                                asked);
                    }
                });
    }

    private void commitOwnership(long epoch, long epochRevision, long lease, long asked) {
        OwnerRecord record =
                new OwnerRecord(mSettings.name(), mIncarnation, epoch, mSettings.peerAddress());
        Transaction commit =
                new Transaction(
                        List.of(
                                new Condition(StoreKeys.OWNER, 0),
                                new Condition(StoreKeys.EPOCH, epochRevision)),
                        List.of(
                                new Put(
                                        StoreKeys.EPOCH,
                                        ByteString.copyFromUtf8(Long.toString(epoch)),
                                        0),
                                new Put(
                                        StoreKeys.OWNER,
                                        ByteString.copyFromUtf8(Json.write(record)),
                                        lease)),
                        List.of());
        mExecutor.whenComplete(
                mStore.commit(commit),
                (result, e) -> {
                    if (result instanceof CommitResult.Committed committed && !mStopped) {
                        mCampaigning = false;
                        mOwner = Optional.of(record);
                        mTerm = new Term(epoch, committed.revision(), lease, mClock);
                        mTerm.extendLease(asked + LEASE_MS - LEASE_MARGIN_MS);
                        mEvents.record(EventCode.ROLE_GAINED, "", "epoch=" + epoch);
                        mListener.onElected(mTerm);
                        scheduleRenewal(mTerm);
                    } else {
                        // An election whose outcome is unknown ends with its lease.
                        mExecutor.whenComplete(
                                mStore.revokeLease(lease), (ended, x) -> scheduleRetry());
                    }
                });
    }

    private void scheduleRetry() {
        mCampaigning = false;
        mExecutor.schedule(RETRY_INTERVAL_MS, this::scheduleCampaignIfVacant);
    }

    private void scheduleRenewal(Term term) {
        mExecutor.schedule(RENEWAL_INTERVAL_MS, () -> renew(term));
    }

    private void renew(Term term) {
        if (mTerm != term) {
            return;
        }
        scheduleRenewal(term);
        long asked = mClock.monotonicMs();
        mExecutor.whenComplete(
                mStore.renewLease(term.leaseId()),
                (alive, e) -> {
                    if (mTerm != term) {
                        return;
                    }
                    if (e == null && !alive) {
                        endTerm("lease ended");
                        mOwner = Optional.empty();
                        scheduleCampaignIfVacant();
                        return;
                    }
                    if (e == null) {
                        term.extendLease(asked + LEASE_MS - LEASE_MARGIN_MS);
                    }
                });
    }

    private void endTerm(String reason) {
        Term term = mTerm;
        mTerm = null;
        term.end();
        mEvents.record(
                EventCode.ROLE_LOST, "", "epoch=" + term.epoch() + " reason=\"" + reason + "\"");
        mListener.onTermEnded(term);
    }

    private final class OwnerKeyListener implements PrefixWatch.Listener {
        @Override
        public void onSnapshot(List<KeyValue> items) {
            mOwnerKeyRead = true;
            if (items.isEmpty()) {
                onDelete(StoreKeys.OWNER);
            } else {
                items.forEach(this::onPut);
            }
        }

        @Override
        public void onPut(KeyValue item) {
            try {
                OwnerRecord owner = Json.read(item.value().toStringUtf8(), OwnerRecord.class);
                mOwner = Optional.of(owner);
                if (mTerm != null && owner.epoch() > mTerm.epoch()) {
                    endTerm("epoch " + owner.epoch() + " stands");
                }
            } catch (JsonException e) {
                mEvents.record(
                        EventCode.RECORD_UNREADABLE,
                        "",
                        "key=" + item.key() + " reason=\"" + e.getMessage() + "\"");
            }
        }

        @Override
        public void onDelete(String key) {
            // While this VM holds a term, only its own lease tells whether the term stands.
            if (mTerm == null) {
                mOwner = Optional.empty();
                scheduleCampaignIfVacant();
            }
        }
    }
}
