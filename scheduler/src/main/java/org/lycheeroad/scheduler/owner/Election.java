package org.lycheeroad.scheduler.owner;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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
 * Elects the owner: the VM whose record is stored under the owner key, attached to a lease.
 *
 * <p>The transaction that writes the owner key also increments the epoch, so that no epoch is used
 * twice. Each term has its own lease.
 */
public final class Election {
    /** Receives the results of elections; all methods are called on the election's executor. */
    public interface Listener {
        /** Called when this VM has become owner. */
        void onElected(Term term);

        /** Called when this VM is no longer owner. */
        void onTermEnded(Term term);
    }

    /**
     * The time after which a failed owner is replaced; several times the latency of a slow store.
     */
    private static final long LEASE_MS = 1_200;

    /**
     * Renewals are sent without waiting for the responses to earlier ones, so that a single lost
     * response does not end the term.
     */
    private static final long RENEWAL_INTERVAL_MS = 250;

    /** Covers the deviation of the store's clock and the rounding of its timers. */
    private static final long LEASE_MARGIN_MS = 150;

    /** Bounds how long a change stays unnoticed if a watch connection has silently failed. */
    private static final long LONG_POLL_MS = 3_000;

    /** Delay of a campaign per millisecond of RTT, to give VMs nearer to the store precedence. */
    private static final long CAMPAIGN_DELAY_PER_RTT_MS = 6;

    private static final long MAX_CAMPAIGN_DELAY_MS = 900;

    /** A VM with less processor time leaves the others precedence: it loads the jobs slowly. */
    private static final double OWNER_CORES = 0.5;

    /** Longer than an election takes on other VMs. */
    private static final long SLOW_VM_DELAY_MS = 150;

    /** Assumed before the first campaign; in a new process, the first calls take longer. */
    private static final long INITIAL_RTT_MS = 5;

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
    private volatile Optional<OwnerRecord> mReportedOwner = Optional.empty();
    private Term mTerm;
    private volatile boolean mOwnerKeyRead;
    private boolean mCampaigning;
    private boolean mStopped;
    private long mRttMs = INITIAL_RTT_MS;

    public Election(
            MetadataStore store,
            SerialExecutor executor,
            NodeSettings settings,
            Clock clock,
            EventRecorder events,
            Listener listener) {
        mStore = store;
        mExecutor = executor;
        mSettings = settings;
        mClock = clock;
        mEvents = events;
        mListener = listener;
        mIncarnation = clock.wallMs();
        mWatch =
                new PrefixWatch(
                        store, executor, StoreKeys.OWNER, LONG_POLL_MS, new OwnerKeyListener());
    }

    public void start() {
        mExecutor.execute(mWatch::start);
    }

    /** Gives up the ownership immediately and does not take part in further elections. */
    public void resign() {
        mExecutor.execute(
                () -> {
                    mStopped = true;
                    mWatch.stop();
                    Term term = mTerm;
                    if (term != null) {
                        endTerm("shutdown");
                        mExecutor.whenComplete(
                                mStore.revokeLease(term.leaseId()), (revoked, e) -> {});
                    }
                });
    }

    /** Returns whether this daemon has read from the store who is owner, if anyone is. */
    boolean isOwnerKeyRead() {
        return mOwnerKeyRead;
    }

    /** Returns the owner as last read from the store, or a newer one that a daemon reported. */
    public Optional<OwnerRecord> owner() {
        Optional<OwnerRecord> stored = mOwner;
        Optional<OwnerRecord> reported = mReportedOwner;
        boolean isReportedNewer =
                reported.isPresent()
                        && reported.get().epoch() > stored.map(OwnerRecord::epoch).orElse(-1L);
        return isReportedNewer ? reported : stored;
    }

    /**
     * Handles an owner that another daemon knows.
     *
     * <p>It only shows where to send requests; whether the ownership is vacant is decided by the
     * store alone, since the report may be outdated.
     */
    void onOwnerReported(OwnerRecord owner) {
        if (mReportedOwner.map(OwnerRecord::epoch).orElse(-1L) < owner.epoch()) {
            mReportedOwner = Optional.of(owner);
        }
    }

    /** Returns whether a record names this process as the owner. */
    public boolean isThisProcess(OwnerRecord owner) {
        return owner.name().equals(mSettings.name()) && owner.incarnation() == mIncarnation;
    }

    /** Ends a term because a worker or the store has reported a newer owner. */
    public void onSuperseded(Term term) {
        mExecutor.execute(
                () -> {
                    if (mTerm == term) {
                        endTerm("superseded");
                        mExecutor.whenComplete(
                                mStore.revokeLease(term.leaseId()),
                                (revoked, e) -> {
                                    forgetOwner(term);
                                    scheduleCampaignIfVacant();
                                });
                    }
                });
    }

    /**
     * Ends the term of this VM, if it is owner, because the store is unavailable from here; called
     * on the election's executor.
     *
     * @return the lease to revoke through another VM
     */
    Optional<Long> endTermWithoutStore() {
        Term term = mTerm;
        if (term == null) {
            return Optional.empty();
        }
        endTerm("store unavailable");
        return Optional.of(term.leaseId());
    }

    private void scheduleCampaignIfVacant() {
        if (mOwnerKeyRead && mOwner.isEmpty() && mTerm == null && !mCampaigning && !mStopped) {
            mCampaigning = true;
            long delayMs =
                    Math.min(MAX_CAMPAIGN_DELAY_MS, (mRttMs - 1) * CAMPAIGN_DELAY_PER_RTT_MS);
            boolean isSlow =
                    mSettings.processorCores() > 0 && mSettings.processorCores() < OWNER_CORES;
            mExecutor.schedule(
                    Math.max(0, delayMs) + (isSlow ? SLOW_VM_DELAY_MS : 0), this::campaign);
        }
    }

    private void campaign() {
        if (mOwner.isPresent() || mStopped) {
            mCampaigning = false;
            return;
        }
        long requestedAtMs = mClock.monotonicMs();
        long wallClockOffsetMs = Term.wallClockOffsetMs(mClock);
        // The two calls do not depend on each other; a lease that is not used ends by itself.
        CompletableFuture<Long> lease =
                mStore.grantLease(Math.max(LEASE_MS, mSettings.minStoreLeaseMs()));
        mExecutor.whenComplete(
                mStore.read(StoreKeys.EPOCH).thenCombine(lease, Candidacy::new),
                (candidacy, e) -> {
                    if (e != null) {
                        scheduleRetry();
                        return;
                    }
                    mRttMs = Math.max(1, mClock.monotonicMs() - requestedAtMs);
                    commitOwnership(candidacy, requestedAtMs, wallClockOffsetMs);
                });
    }

    /** The newest epoch as stored, and the lease for the owner's key. */
    private record Candidacy(Optional<KeyValue> epochKeyValue, long leaseId) {}

    private void commitOwnership(Candidacy candidacy, long requestedAtMs, long wallClockOffsetMs) {
        Optional<KeyValue> stored = candidacy.epochKeyValue;
        long epoch;
        try {
            epoch = stored.isEmpty() ? 0 : Long.parseLong(stored.get().value().toStringUtf8());
        } catch (NumberFormatException e) {
            mEvents.record(EventCode.RECORD_UNREADABLE, "", "key=" + StoreKeys.EPOCH);
            scheduleRetry();
            return;
        }
        commitOwnership(
                epoch + 1,
                stored.map(KeyValue::revision).orElse(0L),
                candidacy.leaseId,
                requestedAtMs,
                wallClockOffsetMs);
    }

    private void commitOwnership(
            long epoch,
            long epochRevision,
            long leaseId,
            long requestedAtMs,
            long wallClockOffsetMs) {
        OwnerRecord record =
                new OwnerRecord(mSettings.name(), mIncarnation, epoch, mSettings.peerAddress());
        Transaction transaction =
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
                                        leaseId)),
                        List.of());
        mExecutor.whenComplete(
                mStore.commit(transaction),
                (result, e) -> {
                    if (result instanceof CommitResult.Committed committed && !mStopped) {
                        mCampaigning = false;
                        mOwner = Optional.of(record);
                        mTerm = new Term(epoch, committed.revision(), leaseId, mClock);
                        mTerm.extendLease(
                                requestedAtMs + LEASE_MS - LEASE_MARGIN_MS, wallClockOffsetMs);
                        mEvents.record(EventCode.ROLE_GAINED, "", "epoch=" + epoch);
                        mListener.onElected(mTerm);
                        scheduleRenewal(mTerm);
                    } else {
                        // If the outcome is unknown, this deletes the owner key that may have been
                        // written.
                        mExecutor.whenComplete(
                                mStore.revokeLease(leaseId), (revoked, x) -> scheduleRetry());
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
        long requestedAtMs = mClock.monotonicMs();
        long wallClockOffsetMs = Term.wallClockOffsetMs(mClock);
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
                        term.extendLease(
                                requestedAtMs + LEASE_MS - LEASE_MARGIN_MS, wallClockOffsetMs);
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

    /**
     * Forgets the owner if it is still the one of an ended term, since the deletion of its key may
     * have been seen and ignored during the term. A campaign fails while another owner has the key.
     */
    private void forgetOwner(Term term) {
        if (mOwner.filter(o -> isThisProcess(o) && o.epoch() == term.epoch()).isPresent()) {
            mOwner = Optional.empty();
        }
    }

    private final class OwnerKeyListener implements PrefixWatch.Listener {
        @Override
        public void onUpToDate(long revision) {
            mReportedOwner = Optional.empty();
        }

        @Override
        public void onSnapshot(List<KeyValue> keyValues) {
            mOwnerKeyRead = true;
            if (keyValues.isEmpty()) {
                onDelete(StoreKeys.OWNER);
            } else {
                PrefixWatch.forEach(keyValues, this::onPut);
            }
        }

        @Override
        public void onPut(KeyValue keyValue) {
            try {
                OwnerRecord owner = Json.read(keyValue.value().toStringUtf8(), OwnerRecord.class);
                mOwner = Optional.of(owner);
                if (mTerm != null && owner.epoch() > mTerm.epoch()) {
                    endTerm("epoch " + owner.epoch() + " stands");
                }
            } catch (JsonException e) {
                mEvents.record(
                        EventCode.RECORD_UNREADABLE,
                        "",
                        "key=" + keyValue.key() + " reason=\"" + e.getMessage() + "\"");
            }
        }

        @Override
        public void onDelete(String key) {
            // While this VM is owner, only the renewal of its lease decides whether its term ends.
            if (mTerm == null) {
                mOwner = Optional.empty();
                scheduleCampaignIfVacant();
            }
        }
    }
}
