package org.lycheeroad.scheduler.port;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value store.
 *
 * <p>Failed calls complete exceptionally with a {@link StoreException}.
 */
public interface MetadataStore {
    /** A key and its value; {@code leaseId} is 0 if the key is not attached to a lease. */
    record KeyValue(String key, ByteString value, long revision, long leaseId) {}

    /**
     * A page of a listing.
     *
     * @param keyValues the keys that can be read; there may be none although more pages follow
     * @param nextAfterKey the key after which the next page begins, or empty for the last page
     * @param revision the store's revision at which the page was read
     */
    record Page(List<KeyValue> keyValues, String nextAfterKey, long revision) {
        public boolean hasMore() {
            return !nextAfterKey.isEmpty();
        }
    }

    /** A change of one key; {@code keyValue} is null if the key was deleted. */
    record Change(String key, KeyValue keyValue) {}

    /** All changes up to a revision. */
    record WatchResponse(List<Change> changes, long revision) {}

    /** Requires that a key is at a revision; revision 0 requires that it does not exist. */
    record Condition(String key, long revision) {}

    /** A write; {@code leaseId} is 0 if the key is not to be attached to a lease. */
    record Put(String key, ByteString value, long leaseId) {}

    /** Writes and deletes that are applied atomically if all conditions hold. */
    record Transaction(List<Condition> conditions, List<Put> puts, List<String> deletes) {}

    /** The result of {@link #commit}. */
    sealed interface CommitResult {
        /** The transaction was applied at a revision. */
        record Committed(long revision) implements CommitResult {}

        /** A condition did not hold; contains the current values of the keys of all conditions. */
        record Conflict(Map<String, KeyValue> currentKeyValues) implements CommitResult {}
    }

    /** Reads one key. */
    CompletableFuture<Optional<KeyValue>> read(String key);

    /** Lists the keys with a prefix that sort after a key; an empty key lists from the start. */
    CompletableFuture<Page> list(String prefix, String afterKey);

    /**
     * Waits for changes of the keys with a prefix after a revision.
     *
     * @param waitMs how long the store waits for a change; 0 to respond immediately
     * @param slackMs how much longer than {@code waitMs} the response may take
     */
    CompletableFuture<WatchResponse> watch(
            String prefix, long afterRevision, long waitMs, long slackMs);

    /** Applies a transaction if its conditions hold. */
    CompletableFuture<CommitResult> commit(Transaction transaction);

    /** Grants a lease and returns its ID. */
    CompletableFuture<Long> grantLease(long ttlMs);

    /** Renews a lease; returns false if it has expired or was revoked. */
    CompletableFuture<Boolean> renewLease(long leaseId);

    /** Revokes a lease, which deletes the keys attached to it. */
    CompletableFuture<Boolean> revokeLease(long leaseId);
}
