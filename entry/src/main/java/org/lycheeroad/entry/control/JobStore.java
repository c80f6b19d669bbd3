package org.lycheeroad.entry.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.StoreCompare;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.transport.store.ConditionalPut;
import org.lycheeroad.transport.store.PutResult;
import org.lycheeroad.transport.store.StoreBatcher;
import org.lycheeroad.transport.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Caches the job records of the store in memory and writes changes to the store.
 *
 * <p>A record with a lower fencing token never replaces one with a higher token, and a final state
 * is never replaced. Methods run on the control thread except {@link #find} and {@link #create}.
 */
final class JobStore {
    private static final Logger LOG = LoggerFactory.getLogger(JobStore.class);
    private static final long CREATE_TIMEOUT_MILLIS = 3_000;
    private static final long UPDATE_TIMEOUT_MILLIS = 5_000;
    private static final long UPDATE_RETRY_DELAY_MILLIS = 500;

    private final StoreClient mStore;
    private final StoreBatcher mBatcher;
    private final ControlLoop mLoop;
    private final AttemptIdGenerator mAttemptIds;
    private final HourlyLeaseProvider mLeaseProvider;
    private final Consumer<JobRecord> mListener;
    private final Map<JobId, JobRecord> mVisibleRecords = new ConcurrentHashMap<>();
    private final Map<String, Long> mRevisionByKey = new ConcurrentHashMap<>();
    private final Map<String, JobId> mJobIdByKey = new ConcurrentHashMap<>();

    /** The newest record of each job that waits to be written to the store. */
    private final Map<JobId, JobRecord> mPendingWrites = new LinkedHashMap<>();

    /** The newest record of each job that is known to be stored. */
    private final Map<JobId, JobRecord> mStoredRecords = new LinkedHashMap<>();

    private final Map<JobId, JobRecord> mWritesInProgress = new LinkedHashMap<>();

    JobStore(
            StoreClient store,
            StoreBatcher batcher,
            ControlLoop loop,
            AttemptIdGenerator attemptIds,
            HourlyLeaseProvider leaseProvider,
            Consumer<JobRecord> listener) {
        mStore = store;
        mBatcher = batcher;
        mLoop = loop;
        mAttemptIds = attemptIds;
        mLeaseProvider = leaseProvider;
        mListener = listener;
    }

    Optional<JobRecord> find(JobId job) {
        return Optional.ofNullable(mVisibleRecords.get(job));
    }

    int pendingWriteCount() {
        return mPendingWrites.size();
    }

    CompletableFuture<CreateJobResult> create(JobSpec spec) {
        JobRecord record = new JobRecord(spec, JobState.QUEUED, "", 0, mAttemptIds.nextId());
        if (mStore.isCircuitOpen()) {
            return CompletableFuture.completedFuture(
                    new CreateJobResult(CreateJobResult.Status.NOT_STORED, record));
        }
        String key = StoreKeys.jobKey(spec);
        ConditionalPut put =
                new ConditionalPut(key, Json.write(record), 0, StoreCompare.absent(key));
        return mBatcher.put(put, CREATE_TIMEOUT_MILLIS)
                .thenApply(
                        result -> {
                            if (result.status() == PutResult.Status.WRITTEN) {
                                // The caller may read its job before the watch delivers it.
                                mVisibleRecords.putIfAbsent(spec.id(), record);
                            }
                            return toCreateResult(record, result);
                        });
    }

    /** Processes a job record from the watch. */
    void onPut(KeyValue kv) {
        Optional<JobRecord> parsed = parse(kv);
        if (parsed.isEmpty() || kv.modRevision() <= mRevisionByKey.getOrDefault(kv.key(), 0L)) {
            return;
        }
        JobRecord record = parsed.get();
        JobId id = record.spec().id();
        mRevisionByKey.put(kv.key(), kv.modRevision());
        mJobIdByKey.put(kv.key(), id);
        mStoredRecords.put(id, record);
        if (!mPendingWrites.containsKey(id) && !mWritesInProgress.containsKey(id)) {
            mVisibleRecords.put(id, record);
        }
        mListener.accept(record);
    }

    /** Processes the deletion of a job's key, which expires a day after the job has ended. */
    void onDelete(String key) {
        mRevisionByKey.remove(key);
        JobId id = mJobIdByKey.remove(key);
        mStoredRecords.remove(id);
        if (id != null && !mPendingWrites.containsKey(id)) {
            mVisibleRecords.remove(id);
        }
    }

    void update(JobRecord record) {
        JobId id = record.spec().id();
        JobRecord stored = mStoredRecords.get(id);
        if (stored != null && supersedes(stored, record)) {
            // Callers read the records on other threads and must not see an outdated state.
            mListener.accept(stored);
            return;
        }
        JobRecord unique =
                new JobRecord(
                        record.spec(),
                        record.state(),
                        record.reason(),
                        record.fencingToken(),
                        mAttemptIds.nextId());
        mVisibleRecords.put(id, unique);
        mPendingWrites.put(id, unique);
        if (!mWritesInProgress.containsKey(id)) {
            startPendingWrite(id);
        }
    }

    private void startPendingWrite(JobId id) {
        JobRecord record = mPendingWrites.remove(id);
        if (record == null) {
            return;
        }
        JobRecord stored = mStoredRecords.get(id);
        if (stored != null && supersedes(stored, record)) {
            mVisibleRecords.put(id, stored);
            mListener.accept(stored);
            return;
        }
        mWritesInProgress.put(id, record);
        if (!record.state().isFinal()) {
            putRecord(record, 0L);
            return;
        }
        // Records of ended jobs are written with a lease, so that they expire after a day.
        mLoop.whenComplete(
                mLeaseProvider.currentLease(),
                (lease, failure) -> {
                    if (failure == null) {
                        putRecord(record, lease);
                    } else {
                        retryLater(record);
                    }
                });
    }

    private void putRecord(JobRecord record, long lease) {
        String key = StoreKeys.jobKey(record.spec());
        long revision = mRevisionByKey.getOrDefault(key, 0L);
        ConditionalPut put =
                new ConditionalPut(
                        key, Json.write(record), lease, StoreCompare.unchangedSince(key, revision));
        mLoop.whenComplete(
                mBatcher.put(put, UPDATE_TIMEOUT_MILLIS),
                (result, failure) -> onWritten(record, key, result));
    }

    private void onWritten(JobRecord record, String key, PutResult result) {
        JobId id = record.spec().id();
        if (result == null) {
            retryLater(record);
            return;
        }
        switch (result.status()) {
            case WRITTEN -> {
                mJobIdByKey.put(key, id);
                mWritesInProgress.remove(id);
                if (result.revision() >= mRevisionByKey.getOrDefault(key, 0L)) {
                    mRevisionByKey.put(key, result.revision());
                    mStoredRecords.put(id, record);
                    // The watch skips this change as already known, so the listener is notified
                    // here.
                    mListener.accept(record);
                } else if (!mPendingWrites.containsKey(id)) {
                    // Another entry wrote after this one, and the watch delivered its change first.
                    mVisibleRecords.put(id, mStoredRecords.getOrDefault(id, record));
                }
                startPendingWrite(id);
            }
            case REFUSED -> onRefused(record, key, result.existing());
            case UNAVAILABLE, UNSETTLED -> {
                mLeaseProvider.invalidate();
                retryLater(record);
            }
        }
    }

    private void onRefused(JobRecord record, String key, KeyValue stored) {
        JobId id = record.spec().id();
        Optional<JobRecord> other = stored == null ? Optional.empty() : parse(stored);
        if (stored == null) {
            mRevisionByKey.remove(key);
        } else if (stored.modRevision() >= mRevisionByKey.getOrDefault(key, 0L)) {
            mRevisionByKey.put(key, stored.modRevision());
            other.ifPresent(r -> mStoredRecords.put(id, r));
        } else {
            // The watch has delivered a newer record than the one read by the failed transaction.
            other = Optional.ofNullable(mStoredRecords.get(id)).or(() -> parse(stored));
        }
        if (other.isPresent() && supersedes(other.get(), record)) {
            mWritesInProgress.remove(id);
            mPendingWrites.remove(id);
            mVisibleRecords.put(id, other.get());
            mListener.accept(other.get());
            return;
        }
        mWritesInProgress.remove(id);
        mPendingWrites.putIfAbsent(id, record);
        startPendingWrite(id);
    }

    private void retryLater(JobRecord record) {
        JobId id = record.spec().id();
        mPendingWrites.putIfAbsent(id, record);
        mLoop.schedule(
                UPDATE_RETRY_DELAY_MILLIS,
                () -> {
                    mWritesInProgress.remove(id);
                    startPendingWrite(id);
                });
    }

    private static boolean supersedes(JobRecord stored, JobRecord record) {
        return stored.state().isFinal() || stored.fencingToken() > record.fencingToken();
    }

    private static CreateJobResult toCreateResult(JobRecord record, PutResult result) {
        return switch (result.status()) {
            case WRITTEN -> new CreateJobResult(CreateJobResult.Status.CREATED, record);
            case REFUSED ->
                    new CreateJobResult(
                            CreateJobResult.Status.EXISTS,
                            Optional.ofNullable(result.existing())
                                    .flatMap(JobStore::parse)
                                    .orElse(record));
            case UNAVAILABLE -> new CreateJobResult(CreateJobResult.Status.NOT_STORED, record);
            case UNSETTLED -> new CreateJobResult(CreateJobResult.Status.UNSETTLED, record);
        };
    }

    private static Optional<JobRecord> parse(KeyValue kv) {
        try {
            return Optional.of(Json.read(kv.value(), JobRecord.class));
        } catch (JsonException e) {
            LOG.error("Failed to parse the job record at store key {}", kv.key(), e);
            return Optional.empty();
        }
    }
}
