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
 * Keeps the jobs of the store in memory and writes changes to it.
 *
 * <p>A record of an older token never replaces one of a newer token, and a final state is never
 * replaced. Methods run on the control thread except {@link #job} and {@link #create}.
 */
final class JobStore {
    private static final Logger LOG = LoggerFactory.getLogger(JobStore.class);
    private static final long CREATE_TIMEOUT_MILLIS = 3_000;
    private static final long UPDATE_TIMEOUT_MILLIS = 5_000;
    private static final long UPDATE_RETRY_MILLIS = 500;

    private final StoreClient mStore;
    private final StoreBatcher mBatcher;
    private final ControlLoop mLoop;
    private final AttemptIds mAttempts;
    private final HourlyLeases mLeases;
    private final Consumer<JobRecord> mListener;
    private final Map<JobId, JobRecord> mJobs = new ConcurrentHashMap<>();
    private final Map<String, Long> mRevisions = new ConcurrentHashMap<>();
    private final Map<String, JobId> mIds = new ConcurrentHashMap<>();

    /** The newest record of each job that is not confirmed by the store. */
    private final Map<JobId, JobRecord> mUnsaved = new LinkedHashMap<>();

    /** The newest record of each job that the store is known to have. */
    private final Map<JobId, JobRecord> mStored = new LinkedHashMap<>();

    private final Map<JobId, JobRecord> mWriting = new LinkedHashMap<>();

    JobStore(
            StoreClient store,
            StoreBatcher batcher,
            ControlLoop loop,
            AttemptIds attempts,
            HourlyLeases leases,
            Consumer<JobRecord> listener) {
        mStore = store;
        mBatcher = batcher;
        mLoop = loop;
        mAttempts = attempts;
        mLeases = leases;
        mListener = listener;
    }

    Optional<JobRecord> job(JobId job) {
        return Optional.ofNullable(mJobs.get(job));
    }

    int unsaved() {
        return mUnsaved.size();
    }

    CompletableFuture<JobWrite> create(JobSpec spec) {
        JobRecord record = new JobRecord(spec, JobState.QUEUED, "", 0, mAttempts.next());
        if (mStore.isCircuitOpen()) {
            return CompletableFuture.completedFuture(
                    new JobWrite(JobWrite.Status.NOT_STORED, record));
        }
        String key = StoreKeys.job(spec);
        ConditionalPut put =
                new ConditionalPut(key, Json.write(record), 0, StoreCompare.absent(key));
        return mBatcher.put(put, CREATE_TIMEOUT_MILLIS)
                .thenApply(
                        r -> {
                            if (r.status() == PutResult.Status.WRITTEN) {
                                // The caller may ask for its job before the watch delivers it.
                                mJobs.putIfAbsent(spec.id(), record);
                            }
                            return toWrite(record, r);
                        });
    }

    /** Takes in a job's key from the watch. */
    void onStored(KeyValue kv) {
        Optional<JobRecord> read = parse(kv);
        if (read.isEmpty() || kv.modRevision() <= mRevisions.getOrDefault(kv.key(), 0L)) {
            return;
        }
        JobRecord record = read.get();
        JobId id = record.spec().id();
        mRevisions.put(kv.key(), kv.modRevision());
        mIds.put(kv.key(), id);
        mStored.put(id, record);
        if (!mUnsaved.containsKey(id) && !mWriting.containsKey(id)) {
            mJobs.put(id, record);
        }
        mListener.accept(record);
    }

    /** Takes in that a job's key is gone, which happens a day after its end. */
    void onDeleted(String key) {
        mRevisions.remove(key);
        JobId id = mIds.remove(key);
        mStored.remove(id);
        if (id != null && !mUnsaved.containsKey(id)) {
            mJobs.remove(id);
        }
    }

    void update(JobRecord record) {
        JobId id = record.spec().id();
        JobRecord stored = mStored.get(id);
        if (stored != null && outranks(stored, record)) {
            // Callers read the jobs on other threads and must not see a state that is outdated.
            mListener.accept(stored);
            return;
        }
        JobRecord unique =
                new JobRecord(
                        record.spec(),
                        record.state(),
                        record.reason(),
                        record.fencingToken(),
                        mAttempts.next());
        mJobs.put(id, unique);
        mUnsaved.put(id, unique);
        if (!mWriting.containsKey(id)) {
            write(id);
        }
    }

    private void write(JobId id) {
        JobRecord record = mUnsaved.remove(id);
        if (record == null) {
            return;
        }
        JobRecord stored = mStored.get(id);
        if (stored != null && outranks(stored, record)) {
            mJobs.put(id, stored);
            mListener.accept(stored);
            return;
        }
        mWriting.put(id, record);
        if (!record.state().isFinal()) {
            write(record, 0L);
            return;
        }
        // Records of ended jobs stay for a day and then go by themselves.
        mLoop.on(
                mLeases.current(),
                (lease, failure) -> {
                    if (failure == null) {
                        write(record, lease);
                    } else {
                        again(record);
                    }
                });
    }

    private void write(JobRecord record, long lease) {
        String key = StoreKeys.job(record.spec());
        long revision = mRevisions.getOrDefault(key, 0L);
        ConditionalPut put =
                new ConditionalPut(
                        key, Json.write(record), lease, StoreCompare.unchangedSince(key, revision));
        mLoop.on(
                mBatcher.put(put, UPDATE_TIMEOUT_MILLIS),
                (result, failure) -> onWritten(record, key, result));
    }

    private void onWritten(JobRecord record, String key, PutResult result) {
        JobId id = record.spec().id();
        if (result == null) {
            again(record);
            return;
        }
        switch (result.status()) {
            case WRITTEN -> {
                mIds.put(key, id);
                mWriting.remove(id);
                if (result.revision() >= mRevisions.getOrDefault(key, 0L)) {
                    mRevisions.put(key, result.revision());
                    mStored.put(id, record);
                    // The watch drops this change as known, so the listener hears of it here.
                    mListener.accept(record);
                } else if (!mUnsaved.containsKey(id)) {
                    // Another entry wrote after this one, and its change was seen first.
                    mJobs.put(id, mStored.getOrDefault(id, record));
                }
                write(id);
            }
            case REFUSED -> onRefused(record, key, result.existing());
            case UNAVAILABLE, UNSETTLED -> {
                mLeases.drop();
                again(record);
            }
        }
    }

    private void onRefused(JobRecord record, String key, KeyValue stored) {
        JobId id = record.spec().id();
        Optional<JobRecord> other = stored == null ? Optional.empty() : parse(stored);
        if (stored == null) {
            mRevisions.remove(key);
        } else if (stored.modRevision() >= mRevisions.getOrDefault(key, 0L)) {
            mRevisions.put(key, stored.modRevision());
            other.ifPresent(o -> mStored.put(id, o));
        } else {
            // The watch has delivered a newer record than the one that the refusal read.
            other = Optional.ofNullable(mStored.get(id)).or(() -> parse(stored));
        }
        if (other.isPresent() && outranks(other.get(), record)) {
            mWriting.remove(id);
            mUnsaved.remove(id);
            mJobs.put(id, other.get());
            mListener.accept(other.get());
            return;
        }
        mWriting.remove(id);
        mUnsaved.putIfAbsent(id, record);
        write(id);
    }

    private void again(JobRecord record) {
        JobId id = record.spec().id();
        mUnsaved.putIfAbsent(id, record);
        mLoop.later(
                UPDATE_RETRY_MILLIS,
                () -> {
                    mWriting.remove(id);
                    write(id);
                });
    }

    private static boolean outranks(JobRecord stored, JobRecord record) {
        return stored.state().isFinal() || stored.fencingToken() > record.fencingToken();
    }

    private static JobWrite toWrite(JobRecord record, PutResult result) {
        return switch (result.status()) {
            case WRITTEN -> new JobWrite(JobWrite.Status.CREATED, record);
            case REFUSED ->
                    new JobWrite(
                            JobWrite.Status.EXISTS,
                            Optional.ofNullable(result.existing())
                                    .flatMap(JobStore::parse)
                                    .orElse(record));
            case UNAVAILABLE -> new JobWrite(JobWrite.Status.NOT_STORED, record);
            case UNSETTLED -> new JobWrite(JobWrite.Status.UNSETTLED, record);
        };
    }

    private static Optional<JobRecord> parse(KeyValue kv) {
        try {
            return Optional.of(Json.read(kv.value(), JobRecord.class));
        } catch (JsonException e) {
            LOG.error("Job {} in the store is not readable", kv.key(), e);
            return Optional.empty();
        }
    }
}
