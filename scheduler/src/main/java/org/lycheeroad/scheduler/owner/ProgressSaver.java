package org.lycheeroad.scheduler.owner;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.CommitResult;
import org.lycheeroad.scheduler.port.MetadataStore.Condition;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.MetadataStore.Put;
import org.lycheeroad.scheduler.port.MetadataStore.Transaction;
import org.lycheeroad.state.id.JobId;

/**
 * Writes the progress of jobs to the store, several jobs per commit and one commit at a time.
 *
 * <p>Each commit requires that the owner key is unchanged and that each progress key is at the
 * revision that this owner knows, so that neither an earlier owner nor a delayed commit can
 * overwrite newer progress.
 */
final class ProgressSaver {
    /** Receives the results of commits, on the executor of the saver. */
    interface Listener {
        /** Called when a version of a job's progress is stored. */
        void onSaved(UnsavedProgress saved);

        /** Called when another owner has been elected. */
        void onSuperseded();
    }

    /**
     * The store accepts 32 rows per commit: the condition on the owner key, and a condition and a
     * write for each job.
     */
    static final int MAX_JOBS_PER_COMMIT = 15;

    /** Limits the size of a commit so that it passes a slow link within its time-out. */
    private static final int MAX_BYTES_PER_COMMIT = 200_000;

    private static final long RETRY_INTERVAL_MS = 100;

    private final MetadataStore mStore;
    private final SerialExecutor mExecutor;
    private final Term mTerm;
    private final Listener mListener;
    private final Map<JobId, UnsavedProgress> mQueued = new LinkedHashMap<>();
    private final Map<JobId, Long> mKnownRevisions = new HashMap<>();
    private boolean mInFlight;
    private boolean mStopped;

    ProgressSaver(MetadataStore store, SerialExecutor executor, Term term, Listener listener) {
        mStore = store;
        mExecutor = executor;
        mTerm = term;
        mListener = listener;
    }

    /** Sets the revision of a job's progress that was loaded from the store. */
    void onLoaded(JobId job, long revision) {
        mKnownRevisions.put(job, revision);
    }

    /** Discards the revision of a job whose records have been deleted. */
    void forget(JobId job) {
        mKnownRevisions.remove(job);
    }

    /** Queues progress, replacing older versions, and commits unless a commit is in flight. */
    void save(List<UnsavedProgress> unsaved) {
        unsaved.forEach(u -> mQueued.put(u.job(), u));
        flush();
    }

    void stop() {
        mStopped = true;
    }

    private void flush() {
        if (mInFlight || mStopped || mQueued.isEmpty() || !mTerm.isLeaseValid()) {
            scheduleRetryIfQueued();
            return;
        }
        List<UnsavedProgress> batch = new ArrayList<>();
        List<Condition> conditions = new ArrayList<>();
        List<Put> puts = new ArrayList<>();
        conditions.add(new Condition(StoreKeys.OWNER, mTerm.ownerRevision()));
        int bytes = 0;
        for (UnsavedProgress unsaved : mQueued.values()) {
            ByteString value = ByteString.copyFromUtf8(Json.write(unsaved.progress()));
            bytes += value.size();
            if (batch.size() == MAX_JOBS_PER_COMMIT
                    || (!batch.isEmpty() && bytes > MAX_BYTES_PER_COMMIT)) {
                break;
            }
            String key = StoreKeys.progressKey(unsaved.job());
            batch.add(unsaved);
            conditions.add(new Condition(key, mKnownRevisions.getOrDefault(unsaved.job(), 0L)));
            puts.add(new Put(key, value, 0));
        }
        batch.forEach(u -> mQueued.remove(u.job()));
        mInFlight = true;
        mExecutor.whenComplete(
                mStore.commit(new Transaction(conditions, puts, List.of())),
                (result, e) -> onResult(batch, result, e));
    }

    private void scheduleRetryIfQueued() {
        if (!mInFlight && !mStopped && !mQueued.isEmpty()) {
            mExecutor.schedule(RETRY_INTERVAL_MS, this::flush);
        }
    }

    private void onResult(List<UnsavedProgress> batch, CommitResult result, Throwable failure) {
        mInFlight = false;
        if (mStopped) {
            return;
        }
        if (failure != null) {
            batch.forEach(u -> mQueued.putIfAbsent(u.job(), u));
            mExecutor.schedule(RETRY_INTERVAL_MS, this::flush);
            return;
        }
        if (result instanceof CommitResult.Committed committed) {
            batch.forEach(u -> mKnownRevisions.put(u.job(), committed.revision()));
            batch.forEach(mListener::onSaved);
        } else if (result instanceof CommitResult.Conflict conflict) {
            onConflict(batch, conflict.currentKeyValues());
        }
        flush();
    }

    /**
     * Handles a conflict: an earlier commit without a response was applied, or the owner changed.
     */
    private void onConflict(List<UnsavedProgress> batch, Map<String, KeyValue> currentKeyValues) {
        KeyValue owner = currentKeyValues.get(StoreKeys.OWNER);
        if (owner == null || owner.revision() != mTerm.ownerRevision()) {
            mStopped = true;
            mListener.onSuperseded();
            return;
        }
        Consumer<UnsavedProgress> requeue =
                u -> {
                    KeyValue keyValue = currentKeyValues.get(StoreKeys.progressKey(u.job()));
                    mKnownRevisions.put(u.job(), keyValue == null ? 0 : keyValue.revision());
                    mQueued.putIfAbsent(u.job(), u);
                };
        batch.forEach(requeue);
    }
}
