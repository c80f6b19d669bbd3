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
    /** One key with its value; {@code lease} is 0 for a key that stays. */
    record Item(String key, ByteString value, long revision, long lease) {}

    /** A part of a listing; {@code asOf} is the store's revision at that time. */
    record Page(List<Item> items, boolean hasMore, long asOf) {}

    /** A change of one key; the item is null when the key was removed. */
    record Change(String key, Item item) {}

    /** Changes up to a revision. */
    record Changes(List<Change> changes, long asOf) {}

    /** Requires that a key is at a revision; 0 means that it does not exist. */
    record Condition(String key, long revision) {}

    /** A value to write; {@code lease} is 0 for a key that stays. */
    record Write(String key, ByteString value, long lease) {}

    /** Writes and removals that are done together when all conditions hold, or not at all. */
    record Commit(List<Condition> conditions, List<Write> writes, List<String> removals) {}

    /** The outcome of a commit. */
    sealed interface CommitResult {
        /** All is written at a revision. */
        record Committed(long revision) implements CommitResult {}

        /** A condition does not hold; holds the present items of all conditions' keys. */
        record Conflict(Map<String, Item> items) implements CommitResult {}
    }

    /** Reads one key. */
    CompletableFuture<Optional<Item>> read(String key);

    /** Lists keys with a prefix, starting behind a key. */
    CompletableFuture<Page> list(String prefix, String after);

    /**
     * Waits for changes of keys with a prefix behind a revision.
     *
     * @param waitMs how long the store waits for a change; 0 to be answered at once
     * @param slackMs how long the answer may take beyond that
     */
    CompletableFuture<Changes> watch(String prefix, long after, long waitMs, long slackMs);

    /** Writes under conditions. */
    CompletableFuture<CommitResult> commit(Commit commit);

    /** Grants a lease and returns its id. */
    CompletableFuture<Long> grantLease(long ttlMs);

    /** Renews a lease; false means that it has ended. */
    CompletableFuture<Boolean> renewLease(long lease);

    /** Ends a lease, which removes its keys. */
    CompletableFuture<Boolean> endLease(long lease);
}
