package org.lycheeroad.scheduler.intake;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.HealthTrackingStore;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.port.MetadataStore.CommitResult;
import org.lycheeroad.scheduler.port.MetadataStore.Condition;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.MetadataStore.Put;
import org.lycheeroad.scheduler.port.MetadataStore.Transaction;
import org.lycheeroad.scheduler.port.StoreException;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.WorkState;

/** Writes accepted jobs and cancellations to the store; all writes are idempotent. */
public final class JobStore {
    private static final ByteString CANCELLATION_MARKER = ByteString.copyFromUtf8("1");

    private final HealthTrackingStore mStore;

    public JobStore(HealthTrackingStore store) {
        mStore = store;
    }

    /** Returns whether the store is unavailable from this VM, so that no writes are sent to it. */
    public boolean isStoreUnavailable() {
        return mStore.isUnavailable();
    }

    /** Stores a job unless it is already stored. */
    public CompletableFuture<StoreOutcome> accept(JobId id, JobRecord record) {
        ByteString value = ByteString.copyFromUtf8(Json.write(record));
        if (mStore.isUnavailable()) {
            return CompletableFuture.completedFuture(StoreOutcome.REFUSED);
        }
        String key = StoreKeys.jobKey(id);
        Transaction transaction =
                new Transaction(
                        List.of(new Condition(key, 0)), List.of(new Put(key, value, 0)), List.of());
        // A conflict means that the job is already stored: the request is a repetition.
        return mStore.commit(transaction)
                .handle((result, e) -> e == null ? StoreOutcome.STORED : outcomeOf(e));
    }

    /** Returns whether a job is surely not stored; false if the store does not say so. */
    public CompletableFuture<Boolean> isAbsent(JobId id) {
        return mStore.read(StoreKeys.jobKey(id)).handle((job, e) -> e == null && job.isEmpty());
    }

    /** Stores the cancellation of a job. */
    public CompletableFuture<StoreOutcome> cancel(JobId id) {
        if (mStore.isUnavailable()) {
            return CompletableFuture.completedFuture(StoreOutcome.REFUSED);
        }
        return mStore.read(StoreKeys.jobKey(id))
                .thenCompose(
                        job -> job.isEmpty() ? jobNotFound() : writeCancellation(id, job.get()))
                .handle((outcome, e) -> e == null ? outcome : outcomeOf(e));
    }

    /** Reads a job's state; empty if the job is not in the store. */
    public CompletableFuture<Optional<WorkState>> readState(JobId id) {
        var job = mStore.read(StoreKeys.jobKey(id));
        var progress = mStore.read(StoreKeys.progressKey(id));
        var cancellation = mStore.read(StoreKeys.cancellationKey(id));
        return CompletableFuture.allOf(job, progress, cancellation)
                .thenApply(unused -> toState(job.join(), progress.join(), cancellation.join()));
    }

    private static Optional<WorkState> toState(
            Optional<KeyValue> job, Optional<KeyValue> progress, Optional<KeyValue> cancellation) {
        if (job.isEmpty()) {
            return Optional.empty();
        }
        WorkState state = WorkState.QUEUED;
        if (progress.isPresent()) {
            try {
                String text = progress.get().value().toStringUtf8();
                ProgressRecord record = Json.read(text, ProgressRecord.class);
                state = record.state();
                if (!state.isEnded() && !record.tasks().isEmpty()) {
                    state = WorkState.ACTIVE;
                }
            } catch (JsonException e) {
                throw new IllegalStateException("cannot parse the stored progress of a job", e);
            }
        }
        return Optional.of(
                cancellation.isPresent() && !state.isEnded() ? WorkState.CANCELLED : state);
    }

    private CompletableFuture<StoreOutcome> writeCancellation(JobId id, KeyValue job) {
        Transaction transaction =
                new Transaction(
                        List.of(new Condition(job.key(), job.revision())),
                        List.of(new Put(StoreKeys.cancellationKey(id), CANCELLATION_MARKER, 0)),
                        List.of());
        return mStore.commit(transaction)
                .thenApply(
                        result ->
                                result instanceof CommitResult.Committed
                                        ? StoreOutcome.STORED
                                        : StoreOutcome.NO_JOB);
    }

    private static CompletableFuture<StoreOutcome> jobNotFound() {
        return CompletableFuture.completedFuture(StoreOutcome.NO_JOB);
    }

    private static StoreOutcome outcomeOf(Throwable failure) {
        return StoreException.kindOf(failure) == StoreException.Kind.REFUSED
                ? StoreOutcome.REFUSED
                : StoreOutcome.UNKNOWN;
    }
}
