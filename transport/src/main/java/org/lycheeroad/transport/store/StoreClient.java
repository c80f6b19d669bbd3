package org.lycheeroad.transport.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.RangeResponse;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnResponse;

/**
 * Client for the platform's key-value store; failed calls complete the futures with {@link
 * StoreException}.
 */
public interface StoreClient {
    /**
     * Reads the keys from {@code key} inclusive to {@code rangeEnd} exclusive, or the single key if
     * {@code rangeEnd} is empty.
     */
    CompletableFuture<RangeResponse> range(Mechanism mechanism, String key, String rangeEnd);

    /** Runs a transaction. */
    CompletableFuture<TxnResponse> txn(Mechanism mechanism, StoreTxn txn);

    /** Creates a lease and returns its id. */
    CompletableFuture<Long> grantLease(Mechanism mechanism, long ttlSeconds);

    /** Renews a lease and returns its remaining time to live in seconds, or 0 if it has expired. */
    CompletableFuture<Long> keepAlive(Mechanism mechanism, long leaseId);

    /** Revokes a lease, which deletes the keys attached to it. */
    CompletableFuture<Void> revokeLease(Mechanism mechanism, long leaseId);

    /**
     * Watches all keys with the prefix, starting at a revision.
     *
     * @return a handle that cancels the watch
     */
    AutoCloseable watch(String prefix, long startRevision, WatchListener listener);

    /** Returns whether calls are refused at once because the circuit breaker is open. */
    default boolean isCircuitOpen() {
        return false;
    }

    /** Reads one key. */
    default CompletableFuture<Optional<KeyValue>> get(Mechanism mechanism, String key) {
        return range(mechanism, key, "").thenApply(response -> first(response.keyValues()));
    }

    private static Optional<KeyValue> first(List<KeyValue> kvs) {
        return kvs.stream().findFirst();
    }
}
