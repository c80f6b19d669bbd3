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

/** Guards against changes that are missed when the store no longer keeps the watched revision. */
class StoreMirrorTest {
    private static final long SEED = 5;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ControlLoop mLoop = new ControlLoop(mGroup, () -> {}, () -> false);
    private final CompactingStore mStore = new CompactingStore();
    private final Map<String, String> mSeen = new ConcurrentHashMap<>();
    private final StoreMirror mMirror =
            new StoreMirror(mStore, mLoop, new Recorder(), new Random(SEED));

    @AfterEach
    void stop() {
        mLoop.execute(mMirror::stop);
        mLoop.stop();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void compactedWatchReadsEverythingAgain() throws Exception {
        mStore.put("/lycheeroad/a", "1", 3);
        mStore.put("/lycheeroad/b", "1", 4);
        mLoop.start();
        mLoop.execute(mMirror::open);
        EntryFixture.await(() -> mStore.mWatches.size() == 1);
        assertThat(mSeen).containsOnlyKeys("/lycheeroad/a", "/lycheeroad/b");

        mStore.mKeys.remove("/lycheeroad/a");
        mStore.put("/lycheeroad/b", "2", 8);
        mStore.put("/lycheeroad/c", "1", 9);
        mStore.mWatches.get(0).onResponse(new WatchResponse(9, false, true, 7, List.of()));

        EntryFixture.await(() -> mStore.mWatches.size() == 2);
        assertThat(mSeen).isEqualTo(Map.of("/lycheeroad/b", "2", "/lycheeroad/c", "1"));
        assertThat(mStore.mStarts).containsExactly(5L, 10L);
    }

    private final class Recorder implements StoreMirror.Handler {
        @Override
        public void onPut(KeyValue kv) {
            mSeen.put(kv.key(), kv.value());
        }

        @Override
        public void onDelete(String key, long revision) {
            mSeen.remove(key);
        }

        @Override
        public void onSynced() {}
    }

    /** Answers reads at once and leaves the answers of watches to the test. */
    private static final class CompactingStore implements StoreClient {
        private final Map<String, KeyValue> mKeys = new ConcurrentSkipListMap<>();
        private final List<WatchListener> mWatches = new CopyOnWriteArrayList<>();
        private final List<Long> mStarts = new CopyOnWriteArrayList<>();
        private volatile long mRevision;

        void put(String key, String value, long revision) {
            mKeys.put(key, new KeyValue(key, value, revision, revision, 1, 0));
            mRevision = revision;
        }

        @Override
        public CompletableFuture<RangeResponse> range(
                Mechanism mechanism, String key, String rangeEnd) {
            return CompletableFuture.completedFuture(
                    new RangeResponse(mRevision, List.copyOf(mKeys.values())));
        }

        @Override
        public AutoCloseable watch(String prefix, long startRevision, WatchListener listener) {
            mStarts.add(startRevision);
            mWatches.add(listener);
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
