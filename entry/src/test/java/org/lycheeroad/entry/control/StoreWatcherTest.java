package org.lycheeroad.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.entry.EntryFixture;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.RangeResponse;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnResponse;
import org.lycheeroad.protocol.store.WatchResponse;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;
import org.lycheeroad.transport.store.WatchListener;

/** Guards against missed changes when the store has compacted the watched revision. */
class StoreWatcherTest {
    private static final long SEED = 5;

    private final EventLoopGroup mEventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ControlLoop mLoop = new ControlLoop(mEventLoopGroup, () -> {}, () -> false);
    private final CompactingStore mStore = new CompactingStore();
    private final Map<String, String> mReplicatedValues = new ConcurrentHashMap<>();
    private final StoreWatcher mWatcher =
            new StoreWatcher(mStore, mLoop, new RecordingHandler(), new Random(SEED));

    @AfterEach
    void stop() {
        mLoop.execute(mWatcher::stop);
        mLoop.stop();
        mEventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void compactedWatchRereadsAllKeys() throws Exception {
        mStore.put("/lycheeroad/a", "1", 3);
        mStore.put("/lycheeroad/b", "1", 4);
        mLoop.start();
        mLoop.execute(mWatcher::open);
        EntryFixture.await(() -> mStore.mListeners.size() == 1);
        assertThat(mReplicatedValues).containsOnlyKeys("/lycheeroad/a", "/lycheeroad/b");

        mStore.mValues.remove("/lycheeroad/a");
        mStore.put("/lycheeroad/b", "2", 8);
        mStore.put("/lycheeroad/c", "1", 9);
        mStore.mListeners.get(0).onResponse(new WatchResponse(9, false, true, 7, List.of()));

        EntryFixture.await(() -> mStore.mListeners.size() == 2);
        assertThat(mReplicatedValues).isEqualTo(Map.of("/lycheeroad/b", "2", "/lycheeroad/c", "1"));
        assertThat(mStore.mStartRevisions).containsExactly(5L, 10L);
    }

    private final class RecordingHandler implements StoreWatcher.ChangeHandler {
        @Override
        public void onPut(KeyValue kv) {
            mReplicatedValues.put(kv.key(), kv.value());
        }

        @Override
        public void onDelete(String key, long revision) {
            mReplicatedValues.remove(key);
        }

        @Override
        public void onSynced() {}
    }

    /** Responds to reads immediately and leaves watch responses to the test. */
    private static final class CompactingStore implements StoreClient {
        private final Map<String, KeyValue> mValues = new ConcurrentSkipListMap<>();
        private final List<WatchListener> mListeners = new CopyOnWriteArrayList<>();
        private final List<Long> mStartRevisions = new CopyOnWriteArrayList<>();
        private volatile long mRevision;

        void put(String key, String value, long revision) {
            mValues.put(key, new KeyValue(key, value, revision, revision, 1, 0));
            mRevision = revision;
        }

        @Override
        public CompletableFuture<RangeResponse> range(
                Mechanism mechanism, String key, String rangeEnd) {
            return CompletableFuture.completedFuture(
                    new RangeResponse(mRevision, List.copyOf(mValues.values())));
        }

        @Override
        public AutoCloseable watch(String prefix, long startRevision, WatchListener listener) {
            mStartRevisions.add(startRevision);
            mListeners.add(listener);
            return () -> {};
        }

        @Override
        public CompletableFuture<TxnResponse> txn(Mechanism mechanism, StoreTxn txn) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Long> grantLease(Mechanism mechanism, long ttlSeconds) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Long> keepAlive(Mechanism mechanism, long lease) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> revokeLease(Mechanism mechanism, long lease) {
            throw new UnsupportedOperationException();
        }
    }
}
