package org.lycheeroad.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.RangeResponse;
import org.lycheeroad.protocol.store.StoreCompare;
import org.lycheeroad.protocol.store.StoreOp;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnResponse;
import org.lycheeroad.protocol.store.WatchEvent;
import org.lycheeroad.protocol.store.WatchResponse;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;
import org.lycheeroad.transport.store.StoreException;
import org.lycheeroad.transport.store.WatchListener;

/** An in-memory store whose clients can be disconnected or lose responses individually. */
final class FakeStore implements AutoCloseable {
    private final Map<String, KeyValue> mValues = new TreeMap<>();
    private final List<WatchEvent> mEvents = new ArrayList<>();
    private final Map<Long, Long> mLeaseExpiryNanos = new HashMap<>();
    private final Map<Long, Long> mLeaseTtlSeconds = new HashMap<>();
    private final List<Client> mClients = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService mExecutor = new ScheduledThreadPoolExecutor(1);
    private long mRevision = 1;
    private long mNextLeaseId = 1;

    FakeStore() {
        mExecutor.scheduleAtFixedRate(this::expireLeases, 50, 50, TimeUnit.MILLISECONDS);
    }

    Client newClient() {
        Client client = new Client();
        mClients.add(client);
        return client;
    }

    void setUnavailable(boolean unavailable) {
        mClients.forEach(client -> client.setDisconnected(unavailable));
    }

    synchronized KeyValue readKey(String key) {
        return mValues.get(key);
    }

    /** Blocks all calls for a time; calls made meanwhile take effect afterwards. */
    void stallFor(long durationMillis) {
        mExecutor.execute(
                () -> {
                    try {
                        Thread.sleep(durationMillis);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    synchronized void writeKey(String key, String value) {
        put(new StoreOp.Put(key, value, 0));
        mClients.forEach(Client::notifyWatches);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private synchronized void expireLeases() {
        long nowNanos = System.nanoTime();
        List<Long> expired = new ArrayList<>();
        mLeaseExpiryNanos.forEach(
                (id, expiryNanos) -> {
                    if (expiryNanos - nowNanos < 0) {
                        expired.add(id);
                    }
                });
        expired.forEach(this::deleteLease);
        mClients.forEach(Client::notifyWatches);
    }

    private void deleteLease(long id) {
        mLeaseExpiryNanos.remove(id);
        List<String> keys =
                mValues.values().stream()
                        .filter(kv -> kv.leaseId() == id)
                        .map(KeyValue::key)
                        .toList();
        if (!keys.isEmpty()) {
            mRevision++;
            keys.forEach(this::delete);
        }
    }

    private void put(StoreOp.Put put) {
        KeyValue old = mValues.get(put.key());
        mRevision++;
        KeyValue kv =
                new KeyValue(
                        put.key(),
                        put.value(),
                        old == null ? mRevision : old.createRevision(),
                        mRevision,
                        old == null ? 1 : old.version() + 1,
                        put.leaseId());
        mValues.put(put.key(), kv);
        mEvents.add(new WatchEvent(false, kv));
    }

    private void delete(String key) {
        if (mValues.remove(key) != null) {
            mEvents.add(new WatchEvent(true, new KeyValue(key, "", 0, mRevision, 0, 0)));
        }
    }

    private List<KeyValue> readRange(String key, String end) {
        if (end.isEmpty()) {
            return mValues.containsKey(key) ? List.of(mValues.get(key)) : List.of();
        }
        return mValues.values().stream()
                .filter(kv -> kv.key().compareTo(key) >= 0 && kv.key().compareTo(end) < 0)
                .toList();
    }

    private synchronized TxnResponse executeTxn(StoreTxn txn) throws StoreException {
        boolean succeeded = true;
        for (StoreCompare compare : txn.conditions()) {
            succeeded &= compare.holds(mValues.get(compare.key()));
        }
        List<List<KeyValue>> reads = new ArrayList<>();
        for (StoreOp op : succeeded ? txn.onSuccess() : txn.onFailure()) {
            List<KeyValue> read = List.of();
            if (op instanceof StoreOp.Put put) {
                if (put.leaseId() != 0 && !mLeaseExpiryNanos.containsKey(put.leaseId())) {
                    throw new StoreException(StoreException.Kind.REJECTED, "lease not found", null);
                }
                put(put);
            } else if (op instanceof StoreOp.Get get) {
                read = readRange(get.key(), get.rangeEnd());
            } else if (op instanceof StoreOp.Delete delete) {
                mRevision++;
                delete(delete.key());
            }
            reads.add(read);
        }
        return new TxnResponse(succeeded, mRevision, reads);
    }

    /** The client of one entry. */
    final class Client implements StoreClient {
        private final List<Watch> mOpenWatches = new CopyOnWriteArrayList<>();
        private volatile boolean mDisconnected;
        private volatile boolean mLosesWriteResponses;
        private final AtomicInteger mTableWritesToReject = new AtomicInteger();

        void setDisconnected(boolean disconnected) {
            mDisconnected = disconnected;
            if (disconnected) {
                List<Watch> ended = List.copyOf(mOpenWatches);
                mOpenWatches.clear();
                mExecutor.execute(() -> ended.forEach(watch -> watch.listener().onEnd(null)));
            }
        }

        /** Makes the store unavailable for the next writes of the table. */
        void rejectTableWrites(int count) {
            mTableWritesToReject.set(count);
        }

        /** Sets whether writes take effect without a response. */
        void setLosesWriteResponses(boolean losesResponses) {
            mLosesWriteResponses = losesResponses;
        }

        @Override
        public CompletableFuture<RangeResponse> range(
                Mechanism mechanism, String key, String rangeEnd) {
            return callOnExecutor(
                    false,
                    () -> {
                        synchronized (FakeStore.this) {
                            return new RangeResponse(mRevision, readRange(key, rangeEnd));
                        }
                    });
        }

        @Override
        public CompletableFuture<TxnResponse> txn(Mechanism mechanism, StoreTxn txn) {
            CompletableFuture<TxnResponse> result = new CompletableFuture<>();
            mExecutor.execute(
                    () -> {
                        if (mDisconnected
                                || (mechanism == Mechanism.TABLE
                                        && mTableWritesToReject.getAndDecrement() > 0)) {
                            result.completeExceptionally(unavailable());
                            return;
                        }
                        try {
                            TxnResponse response = executeTxn(txn);
                            if (mLosesWriteResponses && mechanism != Mechanism.ROLES) {
                                result.completeExceptionally(unsettled());
                            } else {
                                result.complete(response);
                            }
                            mClients.forEach(Client::notifyWatches);
                        } catch (StoreException e) {
                            result.completeExceptionally(e);
                        }
                    });
            return result;
        }

        @Override
        public CompletableFuture<Long> grantLease(Mechanism mechanism, long ttlSeconds) {
            return callOnExecutor(
                    true,
                    () -> {
                        synchronized (FakeStore.this) {
                            long id = mNextLeaseId++;
                            mLeaseTtlSeconds.put(id, ttlSeconds);
                            mLeaseExpiryNanos.put(
                                    id, System.nanoTime() + ttlSeconds * 1_000_000_000L);
                            return id;
                        }
                    });
        }

        @Override
        public CompletableFuture<Long> keepAlive(Mechanism mechanism, long lease) {
            return callOnExecutor(
                    true,
                    () -> {
                        synchronized (FakeStore.this) {
                            if (!mLeaseExpiryNanos.containsKey(lease)) {
                                return 0L;
                            }
                            long ttlSeconds = mLeaseTtlSeconds.get(lease);
                            mLeaseExpiryNanos.put(
                                    lease, System.nanoTime() + ttlSeconds * 1_000_000_000L);
                            return ttlSeconds;
                        }
                    });
        }

        @Override
        public CompletableFuture<Void> revokeLease(Mechanism mechanism, long lease) {
            return callOnExecutor(
                    true,
                    () -> {
                        synchronized (FakeStore.this) {
                            deleteLease(lease);
                            return null;
                        }
                    });
        }

        @Override
        public AutoCloseable watch(String prefix, long startRevision, WatchListener listener) {
            Watch watch = new Watch(prefix, listener, new AtomicLong(startRevision));
            mExecutor.execute(
                    () -> {
                        if (mDisconnected) {
                            listener.onEnd(unavailable());
                        } else {
                            mOpenWatches.add(watch);
                            notifyWatches();
                        }
                    });
            return () -> mOpenWatches.remove(watch);
        }

        @Override
        public boolean isCircuitOpen() {
            return mDisconnected;
        }

        private void notifyWatches() {
            synchronized (FakeStore.this) {
                for (Watch watch : mOpenWatches) {
                    List<WatchEvent> newEvents =
                            mEvents.stream()
                                    .filter(
                                            event ->
                                                    event.keyValue().modRevision()
                                                            >= watch.nextRevision().get())
                                    .filter(
                                            event ->
                                                    event.keyValue()
                                                            .key()
                                                            .startsWith(watch.prefix()))
                                    .toList();
                    if (!newEvents.isEmpty()) {
                        watch.nextRevision().set(mRevision + 1);
                        watch.listener()
                                .onResponse(
                                        new WatchResponse(mRevision, false, false, 0, newEvents));
                    }
                }
            }
        }

        private <T> CompletableFuture<T> callOnExecutor(boolean write, Supplier<T> call) {
            CompletableFuture<T> result = new CompletableFuture<>();
            mExecutor.execute(
                    () -> {
                        if (mDisconnected) {
                            result.completeExceptionally(unavailable());
                        } else {
                            result.complete(call.get());
                            if (write) {
                                mClients.forEach(Client::notifyWatches);
                            }
                        }
                    });
            return result;
        }
    }

    private record Watch(String prefix, WatchListener listener, AtomicLong nextRevision) {}

    private static StoreException unavailable() {
        return new StoreException(StoreException.Kind.UNAVAILABLE, "disconnected", null);
    }

    private static StoreException unsettled() {
        return new StoreException(StoreException.Kind.UNSETTLED, "response lost", null);
    }
}
