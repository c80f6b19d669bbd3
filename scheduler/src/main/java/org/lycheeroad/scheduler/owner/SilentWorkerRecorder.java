package org.lycheeroad.scheduler.owner;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.CommitResult;
import org.lycheeroad.scheduler.port.MetadataStore.Condition;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.MetadataStore.Put;
import org.lycheeroad.scheduler.port.MetadataStore.Transaction;
import org.lycheeroad.state.id.WorkerId;

/**
 * Keeps in the store for how long the leases of silent workers may still last, so that the next
 * owner does not wait for the longest lease from the beginning of its term.
 *
 * <p>The next owner counts the remaining time from when it read the record, which is later than
 * when it was written. While the store may list a worker, no lease is granted to it. All methods
 * run on the owner's executor.
 */
final class SilentWorkerRecorder {
    /**
     * The age of the record when it is written again. The time from its last write to when the next
     * owner reads it does not count towards the wait.
     */
    private static final long WRITE_INTERVAL_MS = 1_000;

    /** Bounds the writes if many workers fall silent and answer again. */
    private static final long MIN_WRITE_INTERVAL_MS = 200;

    private final MetadataStore mStore;
    private final SerialExecutor mExecutor;
    private final Term mTerm;
    private final Clock mClock;
    private final Runnable mOnSuperseded;

    /** When the leases have ended by the record of earlier owners, on this VM's clock. */
    private final Map<WorkerId, Long> mLoadedExpiryMs = new HashMap<>();

    /** The workers that the store may list, also by a write whose outcome is not known. */
    private final Set<WorkerId> mListed = new HashSet<>();

    private long mRevision;
    private boolean mInFlight;
    private long mWrittenAtMs = Long.MIN_VALUE / 2;
    private long mNextWriteAtMs = Long.MIN_VALUE / 2;

    /** Whether the last write was not confirmed. */
    private boolean mOutcomeUnknown;

    /** Whether the record shows time left, so that a newer one would show less. */
    private boolean mListsRemainingTime;

    private boolean mStopped;

    SilentWorkerRecorder(
            MetadataStore store,
            SerialExecutor executor,
            Term term,
            Clock clock,
            Runnable onSuperseded) {
        mStore = store;
        mExecutor = executor;
        mTerm = term;
        mClock = clock;
        mOnSuperseded = onSuperseded;
    }

    /** Sets the record that earlier owners left. */
    void onLoaded(KeyValue record) throws JsonException {
        mRevision = record.revision();
        long nowMs = mClock.monotonicMs();
        SilentWorkers silent = Json.read(record.value().toStringUtf8(), SilentWorkers.class);
        silent.remainingMs()
                .forEach(
                        (id, remainingMs) -> {
                            WorkerId worker = new WorkerId(id);
                            mListed.add(worker);
                            mLoadedExpiryMs.put(worker, nowMs + remainingMs);
                            mListsRemainingTime |= remainingMs > 0;
                        });
    }

    void stop() {
        mStopped = true;
    }

    /** Returns whether a lease may be granted, as no later owner can take the worker as silent. */
    boolean mayGrantLease(WorkerId worker) {
        return !mListed.contains(worker);
    }

    /**
     * Returns when all leases have ended that earlier owners granted to a worker.
     *
     * @param latestMs the time at which they have ended in any case
     */
    long earlierLeasesExpiredAtMs(WorkerId worker, long latestMs) {
        Long loadedMs = mListed.contains(worker) ? mLoadedExpiryMs.get(worker) : null;
        return loadedMs == null ? latestMs : Math.min(latestMs, loadedMs);
    }

    /**
     * Writes the record if other workers are silent than those listed, and from time to time while
     * their leases last.
     *
     * @param expiredAtMs the workers that are silent, with when all their leases have ended
     */
    void update(Map<WorkerId, Long> expiredAtMs) {
        long nowMs = mClock.monotonicMs();
        boolean isDue =
                mOutcomeUnknown
                        || !expiredAtMs.keySet().equals(mListed)
                        || (mListsRemainingTime && nowMs - mWrittenAtMs >= WRITE_INTERVAL_MS);
        if (isDue && !mInFlight && !mStopped && nowMs >= mNextWriteAtMs && mTerm.isLeaseValid()) {
            write(expiredAtMs, nowMs);
        }
    }

    private void write(Map<WorkerId, Long> expiredAtMs, long nowMs) {
        Map<String, Long> remainingMs = new HashMap<>();
        boolean remainingTime = false;
        for (Map.Entry<WorkerId, Long> worker : expiredAtMs.entrySet()) {
            long leftMs = Math.max(0, worker.getValue() - nowMs);
            remainingMs.put(worker.getKey().value(), leftMs);
            remainingTime |= leftMs > 0;
        }
        Set<WorkerId> written = Set.copyOf(expiredAtMs.keySet());
        boolean hasRemainingTime = remainingTime;
        mListed.addAll(written);
        mInFlight = true;
        ByteString value = ByteString.copyFromUtf8(Json.write(new SilentWorkers(remainingMs)));
        Transaction transaction =
                new Transaction(
                        List.of(
                                new Condition(StoreKeys.OWNER, mTerm.ownerRevision()),
                                new Condition(StoreKeys.SILENT_WORKERS, mRevision)),
                        List.of(new Put(StoreKeys.SILENT_WORKERS, value, 0)),
                        List.of());
        mExecutor.whenComplete(
                mStore.commit(transaction),
                (result, e) -> {
                    mInFlight = false;
                    mNextWriteAtMs = mClock.monotonicMs() + MIN_WRITE_INTERVAL_MS;
                    mOutcomeUnknown = !(result instanceof CommitResult.Committed);
                    if (result instanceof CommitResult.Committed committed) {
                        mRevision = committed.revision();
                        mListed.retainAll(written);
                        mLoadedExpiryMs.keySet().retainAll(written);
                        mListsRemainingTime = hasRemainingTime;
                        mWrittenAtMs = nowMs;
                        return;
                    }
                    if (result instanceof CommitResult.Conflict conflict) {
                        onConflict(conflict.currentKeyValues());
                    }
                });
    }

    /**
     * Handles a conflict: an earlier commit without a response was applied, or the owner changed.
     */
    private void onConflict(Map<String, KeyValue> current) {
        KeyValue owner = current.get(StoreKeys.OWNER);
        if (owner == null || owner.revision() != mTerm.ownerRevision()) {
            if (!mStopped) {
                mStopped = true;
                mOnSuperseded.run();
            }
            return;
        }
        KeyValue record = current.get(StoreKeys.SILENT_WORKERS);
        mRevision = record == null ? 0 : record.revision();
    }
}
