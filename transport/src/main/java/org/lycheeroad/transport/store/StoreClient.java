package org.lycheeroad.transport.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.RangeResponse;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnResponse;

/** Calls of the platform's store; failures complete the futures with {@link StoreException}. */
public interface StoreClient {
    /** Reads the keys from {@code key} up to {@code rangeEnd}; an empty end reads one key. */
    CompletableFuture<RangeResponse> range(Mechanism mechanism, String key, String rangeEnd);

    /** Runs a transaction. */
    CompletableFuture<TxnResponse> txn(Mechanism mechanism, StoreTxn txn);

    /** Creates a lease and returns its id. */
    CompletableFuture<Long> grantLease(Mechanism mechanism, long ttlSeconds);

    /** Renews a lease and returns its remaining time in seconds, or 0 if it has expired. */
    CompletableFuture<Long> keepAlive(Mechanism mechanism, long lease);

    /** Ends a lease, which deletes its keys. */
    CompletableFuture<Void> revoke(Mechanism mechanism, long lease);

    /**
     * Watches all keys with the prefix from a revision on.
     *
     * @return a handle that ends the watch
     */
    AutoCloseable watch(String prefix, long startRevision, WatchListener listener);

    /** Returns whether calls are refused at once because the store does not answer. */
    default boolean isOpen() {
        return false;
    }

    /** Reads one key. */
    default CompletableFuture<Optional<KeyValue>> get(Mechanism mechanism, String key) {
        return range(mechanism, key, "").thenApply(a -> first(a.keyValues()));
    }

    private static Optional<KeyValue> first(List<KeyValue> kvs) {
        return kvs.stream().findFirst();
    }
}
