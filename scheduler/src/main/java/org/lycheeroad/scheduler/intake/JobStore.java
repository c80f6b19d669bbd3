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

/** Writes accepted jobs and cancellations to the store; repeating a write has no further effect. */
public final class JobStore {
    private static final ByteString CANCELLATION_MARKER = ByteString.copyFromUtf8("1");

    private final HealthTrackingStore mStore;

    public JobStore(HealthTrackingStore store) {
        mStore = store;
    }

    /** Returns whether the store does not serve this VM, so that nothing is sent to it. */
    public boolean isStoreUnavailable() {
        return mStore.isUnavailable();
    }

    /** Stores a job unless the store has it. */
    public CompletableFuture<StoreOutcome> accept(JobId id, JobRecord record) {
        ByteString value = ByteString.copyFromUtf8(Json.write(record));
        if (mStore.isUnavailable()) {
            return CompletableFuture.completedFuture(StoreOutcome.REFUSED);
        }
        String key = StoreKeys.jobKey(id);
        Transaction commit =
                new Transaction(
                        List.of(new Condition(key, 0)), List.of(new Put(key, value, 0)), List.of());
        // A conflict means that the job is stored: it has come before.
        return mStore.commit(commit)
                .handle((result, e) -> e == null ? StoreOutcome.STORED : outcomeOf(e));
    }

    /** Stores the cancellation of a job. */
    public CompletableFuture<StoreOutcome> cancel(JobId id) {
        if (mStore.isUnavailable()) {
            return CompletableFuture.completedFuture(StoreOutcome.REFUSED);
        }
        return mStore.read(StoreKeys.jobKey(id))
                .thenCompose(
                        item -> item.isEmpty() ? jobNotFound() : writeCancellation(id, item.get()))
                .handle((outcome, e) -> e == null ? outcome : outcomeOf(e));
    }

    /** Reads a job's state; empty if the store has no such job. */
    public CompletableFuture<Optional<WorkState>> readState(JobId id) {
        var job = mStore.read(StoreKeys.jobKey(id));
        var progress = mStore.read(StoreKeys.progressKey(id));
        var cancel = mStore.read(StoreKeys.cancellationKey(id));
        return CompletableFuture.allOf(job, progress, cancel)
                .thenApply(done -> readState(job.join(), progress.join(), cancel.join()));
    }

    private static Optional<WorkState> readState(
            Optional<KeyValue> job, Optional<KeyValue> progress, Optional<KeyValue> cancel) {
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
                throw new IllegalStateException("progress of a job cannot be read", e);
            }
        }
        return Optional.of(cancel.isPresent() && !state.isEnded() ? WorkState.CANCELLED : state);
    }

    private CompletableFuture<StoreOutcome> writeCancellation(JobId id, KeyValue job) {
        Transaction commit =
                new Transaction(
                        List.of(new Condition(job.key(), job.revision())),
                        List.of(new Put(StoreKeys.cancellationKey(id), CANCELLATION_MARKER, 0)),
                        List.of());
        return mStore.commit(commit)
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
