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
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.RangeAnswer;
import org.lycheeroad.protocol.store.StoreCompare;
import org.lycheeroad.protocol.store.StoreOp;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnAnswer;
import org.lycheeroad.protocol.store.WatchAnswer;
import org.lycheeroad.protocol.store.WatchEvent;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;
import org.lycheeroad.transport.store.StoreException;
import org.lycheeroad.transport.store.WatchListener;

/** A store in memory whose clients can each be cut off or lose answers. */
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

    void setUnavailable(boolean down) {
        mClients.forEach(c -> c.setDisconnected(down));
    }

    synchronized KeyValue read(String key) {
        return mValues.get(key);
    }

    /** Answers no call for a time; calls made meanwhile take effect after it. */
    void stallFor(long millis) {
        mExecutor.execute(
                () -> {
                    try {
                        Thread.sleep(millis);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    synchronized void write(String key, String value) {
        put(new StoreOp.Put(key, value, 0));
        mClients.forEach(Client::notifyWatches);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private synchronized void expireLeases() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        mLeaseExpiryNanos.forEach(
                (id, end) -> {
                    if (end - now < 0) {
                        ended.add(id);
                    }
                });
        ended.forEach(this::deleteLease);
        mClients.forEach(Client::notifyWatches);
    }

    private void deleteLease(long id) {
        mLeaseExpiryNanos.remove(id);
        List<String> keys =
                mValues.values().stream().filter(k -> k.lease() == id).map(KeyValue::key).toList();
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
                        put.lease());
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
                .filter(k -> k.key().compareTo(key) >= 0 && k.key().compareTo(end) < 0)
                .toList();
    }

    private synchronized TxnAnswer executeTxn(StoreTxn txn) throws StoreException {
        boolean holds = true;
        for (StoreCompare compare : txn.compares()) {
            holds &= compare.holds(mValues.get(compare.key()));
        }
        List<List<KeyValue>> reads = new ArrayList<>();
        for (StoreOp op : holds ? txn.success() : txn.failure()) {
            List<KeyValue> read = List.of();
            if (op instanceof StoreOp.Put put) {
                if (put.lease() != 0 && !mLeaseExpiryNanos.containsKey(put.lease())) {
                    throw new StoreException(StoreException.Kind.REJECTED, "no lease", null);
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
        return new TxnAnswer(holds, mRevision, reads);
    }

    /** One entry's connections to the store. */
    final class Client implements StoreClient {
        private final List<Watch> mWatches = new CopyOnWriteArrayList<>();
        private volatile boolean mDisconnected;
        private volatile boolean mLoseWriteAnswers;

        void setDisconnected(boolean cut) {
            mDisconnected = cut;
            if (cut) {
                List<Watch> ended = List.copyOf(mWatches);
                mWatches.clear();
                mExecutor.execute(() -> ended.forEach(w -> w.listener().onEnd(null)));
            }
        }

        /** Lets writes take effect but loses their answers. */
        void setLoseWriteAnswers(boolean lose) {
            mLoseWriteAnswers = lose;
        }

        @Override
        public CompletableFuture<RangeAnswer> range(
                Mechanism mechanism, String key, String rangeEnd) {
            return callOnExecutor(
                    false,
                    () -> {
                        synchronized (FakeStore.this) {
                            return new RangeAnswer(mRevision, readRange(key, rangeEnd));
                        }
                    });
        }

        @Override
        public CompletableFuture<TxnAnswer> txn(Mechanism mechanism, StoreTxn txn) {
            CompletableFuture<TxnAnswer> result = new CompletableFuture<>();
            mExecutor.execute(
                    () -> {
                        if (mDisconnected) {
                            result.completeExceptionally(unavailable());
                            return;
                        }
                        try {
                            TxnAnswer answer = executeTxn(txn);
                            if (mLoseWriteAnswers && mechanism != Mechanism.ROLES) {
                                result.completeExceptionally(unsettled());
                            } else {
                                result.complete(answer);
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
                            long ttl = mLeaseTtlSeconds.get(lease);
                            mLeaseExpiryNanos.put(lease, System.nanoTime() + ttl * 1_000_000_000L);
                            return ttl;
                        }
                    });
        }

        @Override
        public CompletableFuture<Void> revoke(Mechanism mechanism, long lease) {
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
                            mWatches.add(watch);
                            notifyWatches();
                        }
                    });
            return () -> mWatches.remove(watch);
        }

        @Override
        public boolean isOpen() {
            return mDisconnected;
        }

        private void notifyWatches() {
            synchronized (FakeStore.this) {
                for (Watch watch : mWatches) {
                    List<WatchEvent> news =
                            mEvents.stream()
                                    .filter(e -> e.kv().modRevision() >= watch.nextRevision().get())
                                    .filter(e -> e.kv().key().startsWith(watch.prefix()))
                                    .toList();
                    if (!news.isEmpty()) {
                        watch.nextRevision().set(mRevision + 1);
                        watch.listener()
                                .onAnswer(new WatchAnswer(mRevision, false, false, 0, news));
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
        return new StoreException(StoreException.Kind.UNAVAILABLE, "cut", null);
    }

    private static StoreException unsettled() {
        return new StoreException(StoreException.Kind.UNSETTLED, "answer lost", null);
    }
}
