package org.lycheeroad.scheduler.port;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value store.
 *
 * <p>Calls that fail complete with a {@link StoreException}.
 */
public interface MetadataStore {
    /** One key with its value; {@code leaseId} is 0 for a key that stays. */
    record KeyValue(String key, ByteString value, long revision, long leaseId) {}

    /** A part of a listing; {@code revision} is the store's revision at that time. */
    record Page(List<KeyValue> keyValues, boolean hasMore, long revision) {}

    /** A change of one key; the item is null when the key was removed. */
    record Change(String key, KeyValue keyValue) {}

    /** Changes up to a revision. */
    record WatchResponse(List<Change> changes, long revision) {}

    /** Requires that a key is at a revision; 0 means that it does not exist. */
    record Condition(String key, long revision) {}

    /** A value to write; {@code leaseId} is 0 for a key that stays. */
    record Put(String key, ByteString value, long leaseId) {}

    /** Writes and removals that are done together when all conditions hold, or not at all. */
    record Transaction(List<Condition> conditions, List<Put> puts, List<String> deletes) {}

    /** The outcome of a commit. */
    sealed interface CommitResult {
        /** All is written at a revision. */
        record Committed(long revision) implements CommitResult {}

        /** A condition does not hold; holds the present items of all conditions' keys. */
        record Conflict(Map<String, KeyValue> currentKeyValues) implements CommitResult {}
    }

    /** Reads one key. */
    CompletableFuture<Optional<KeyValue>> read(String key);

    /** Lists keys with a prefix, starting behind a key. */
    CompletableFuture<Page> list(String prefix, String after);

    /**
     * Waits for changes of keys with a prefix behind a revision.
     *
     * @param waitMs how long the store waits for a change; 0 to be answered at once
     * @param slackMs how long the answer may take beyond that
     */
    CompletableFuture<WatchResponse> watch(String prefix, long after, long waitMs, long slackMs);

    /** Writes under conditions. */
    CompletableFuture<CommitResult> commit(Transaction commit);

    /** Grants a lease and returns its id. */
    CompletableFuture<Long> grantLease(long ttlMs);

    /** Renews a lease; false means that it has ended. */
    CompletableFuture<Boolean> renewLease(long lease);

    /** Ends a lease, which removes its keys. */
    CompletableFuture<Boolean> revokeLease(long lease);
}
