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

/** A store in memory whose clients can each be cut off or lose answers. */
final class FakeStore implements AutoCloseable {
    private final Map<String, KeyValue> mKeys = new TreeMap<>();
    private final List<WatchEvent> mHistory = new ArrayList<>();
    private final Map<Long, Long> mLeaseEnds = new HashMap<>();
    private final Map<Long, Long> mLeaseTtls = new HashMap<>();
    private final List<Client> mClients = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService mThread = new ScheduledThreadPoolExecutor(1);
    private long mRevision = 1;
    private long mNextLease = 1;

    FakeStore() {
        mThread.scheduleAtFixedRate(this::expire, 50, 50, TimeUnit.MILLISECONDS);
    }

    Client client() {
        Client client = new Client();
        mClients.add(client);
        return client;
    }

    void down(boolean down) {
        mClients.forEach(c -> c.cut(down));
    }

    synchronized KeyValue read(String key) {
        return mKeys.get(key);
    }

    /** Answers no call for a time; calls made meanwhile take effect after it. */
    void stall(long millis) {
        mThread.execute(
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
        mThread.shutdownNow();
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        mLeaseEnds.forEach(
                (id, end) -> {
                    if (end - now < 0) {
                        ended.add(id);
                    }
                });
        ended.forEach(this::endLease);
        mClients.forEach(Client::notifyWatches);
    }

    private void endLease(long id) {
        mLeaseEnds.remove(id);
        List<String> keys =
                mKeys.values().stream().filter(k -> k.leaseId() == id).map(KeyValue::key).toList();
        if (!keys.isEmpty()) {
            mRevision++;
            keys.forEach(this::delete);
        }
    }

    private void put(StoreOp.Put put) {
        KeyValue old = mKeys.get(put.key());
        mRevision++;
        KeyValue kv =
                new KeyValue(
                        put.key(),
                        put.value(),
                        old == null ? mRevision : old.createRevision(),
                        mRevision,
                        old == null ? 1 : old.version() + 1,
                        put.leaseId());
        mKeys.put(put.key(), kv);
        mHistory.add(new WatchEvent(false, kv));
    }

    private void delete(String key) {
        if (mKeys.remove(key) != null) {
            mHistory.add(new WatchEvent(true, new KeyValue(key, "", 0, mRevision, 0, 0)));
        }
    }

    private List<KeyValue> keys(String key, String end) {
        if (end.isEmpty()) {
            return mKeys.containsKey(key) ? List.of(mKeys.get(key)) : List.of();
        }
        return mKeys.values().stream()
                .filter(k -> k.key().compareTo(key) >= 0 && k.key().compareTo(end) < 0)
                .toList();
    }

    private synchronized TxnResponse run(StoreTxn txn) throws StoreException {
        boolean holds = true;
        for (StoreCompare compare : txn.conditions()) {
            holds &= compare.holds(mKeys.get(compare.key()));
        }
        List<List<KeyValue>> reads = new ArrayList<>();
        for (StoreOp op : holds ? txn.onSuccess() : txn.onFailure()) {
            List<KeyValue> read = List.of();
            if (op instanceof StoreOp.Put put) {
                if (put.leaseId() != 0 && !mLeaseEnds.containsKey(put.leaseId())) {
                    throw new StoreException(StoreException.Kind.REJECTED, "no lease", null);
                }
                put(put);
            } else if (op instanceof StoreOp.Get get) {
                read = keys(get.key(), get.rangeEnd());
            } else if (op instanceof StoreOp.Delete delete) {
                mRevision++;
                delete(delete.key());
            }
            reads.add(read);
        }
        return new TxnResponse(holds, mRevision, reads);
    }

    /** One entry's connections to the store. */
    final class Client implements StoreClient {
        private final List<Watch> mWatches = new CopyOnWriteArrayList<>();
        private volatile boolean mCut;
        private volatile boolean mLoseWrites;

        void cut(boolean cut) {
            mCut = cut;
            if (cut) {
                List<Watch> ended = List.copyOf(mWatches);
                mWatches.clear();
                mThread.execute(() -> ended.forEach(w -> w.listener().onEnd(null)));
            }
        }

        /** Lets writes take effect but loses their answers. */
        void loseWriteAnswers(boolean lose) {
            mLoseWrites = lose;
        }

        @Override
        public CompletableFuture<RangeResponse> range(
                Mechanism mechanism, String key, String rangeEnd) {
            return answer(
                    false,
                    () -> {
                        synchronized (FakeStore.this) {
                            return new RangeResponse(mRevision, keys(key, rangeEnd));
                        }
                    });
        }

        @Override
        public CompletableFuture<TxnResponse> txn(Mechanism mechanism, StoreTxn txn) {
            CompletableFuture<TxnResponse> result = new CompletableFuture<>();
            mThread.execute(
                    () -> {
                        if (mCut) {
                            result.completeExceptionally(unavailable());
                            return;
                        }
                        try {
                            TxnResponse answer = run(txn);
                            if (mLoseWrites && mechanism != Mechanism.ROLES) {
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
            return answer(
                    true,
                    () -> {
                        synchronized (FakeStore.this) {
                            long id = mNextLease++;
                            mLeaseTtls.put(id, ttlSeconds);
                            mLeaseEnds.put(id, System.nanoTime() + ttlSeconds * 1_000_000_000L);
                            return id;
                        }
                    });
        }

        @Override
        public CompletableFuture<Long> keepAlive(Mechanism mechanism, long lease) {
            return answer(
                    true,
                    () -> {
                        synchronized (FakeStore.this) {
                            if (!mLeaseEnds.containsKey(lease)) {
                                return 0L;
                            }
                            long ttl = mLeaseTtls.get(lease);
                            mLeaseEnds.put(lease, System.nanoTime() + ttl * 1_000_000_000L);
                            return ttl;
                        }
                    });
        }

        @Override
        public CompletableFuture<Void> revokeLease(Mechanism mechanism, long lease) {
            return answer(
                    true,
                    () -> {
                        synchronized (FakeStore.this) {
                            endLease(lease);
                            return null;
                        }
                    });
        }

        @Override
        public AutoCloseable watch(String prefix, long startRevision, WatchListener listener) {
            Watch watch = new Watch(prefix, listener, new AtomicLong(startRevision));
            mThread.execute(
                    () -> {
                        if (mCut) {
                            listener.onEnd(unavailable());
                        } else {
                            mWatches.add(watch);
                            notifyWatches();
                        }
                    });
            return () -> mWatches.remove(watch);
        }

        @Override
        public boolean isCircuitOpen() {
            return mCut;
        }

        private void notifyWatches() {
            synchronized (FakeStore.this) {
                for (Watch watch : mWatches) {
                    List<WatchEvent> news =
                            mHistory.stream()
                                    .filter(e -> e.keyValue().modRevision() >= watch.next().get())
                                    .filter(e -> e.keyValue().key().startsWith(watch.prefix()))
                                    .toList();
                    if (!news.isEmpty()) {
                        watch.next().set(mRevision + 1);
                        watch.listener()
                                .onResponse(new WatchResponse(mRevision, false, false, 0, news));
                    }
                }
            }
        }

        private <T> CompletableFuture<T> answer(boolean write, Supplier<T> call) {
            CompletableFuture<T> result = new CompletableFuture<>();
            mThread.execute(
                    () -> {
                        if (mCut) {
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

    private record Watch(String prefix, WatchListener listener, AtomicLong next) {}

    private static StoreException unavailable() {
        return new StoreException(StoreException.Kind.UNAVAILABLE, "cut", null);
    }

    private static StoreException unsettled() {
        return new StoreException(StoreException.Kind.UNSETTLED, "answer lost", null);
    }
}
