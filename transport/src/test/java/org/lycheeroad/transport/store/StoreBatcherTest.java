package org.lycheeroad.transport.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.RangeResponse;
import org.lycheeroad.protocol.store.StoreCompare;
import org.lycheeroad.protocol.store.StoreOp;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnResponse;

/** Tests batches of writes on a store that loses responses and delays writes. */
final class StoreBatcherTest {
    private static final EventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterContainer
    static void stop() {
        GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Guards against results that contradict the stored values after lost and delayed responses.
     */
    @Property(tries = 12, seed = "733")
    void resultsMatchTheStoredValues(@ForAll long seed) throws Exception {
        LossyStore store = new LossyStore(seed);
        StoreBatcher batcher = new StoreBatcher(store, Mechanism.CLAIMS, GROUP, new Random(seed));
        Map<String, CompletableFuture<PutResult>> results = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            String key = "k" + i % 25;
            String value = "v" + i;
            ConditionalPut put = new ConditionalPut(key, value, 0, StoreCompare.absent(key));
            results.put(key + "=" + value, batcher.put(put, 5_000));
        }
        for (Map.Entry<String, CompletableFuture<PutResult>> entry : results.entrySet()) {
            PutResult result = entry.getValue().get(6, TimeUnit.SECONDS);
            String[] put = entry.getKey().split("=", -1);
            boolean stored = store.storedValue(put[0]).equals(put[1]);
            PutResult.Status expected =
                    stored ? PutResult.Status.WRITTEN : PutResult.Status.REFUSED;
            assertThat(result.status()).as(entry.getKey()).isEqualTo(expected);
        }
    }

    @Nested
    final class Batches {
        /**
         * Guards against sending one transaction per claim, which the store's rate limit does not
         * allow.
         */
        @Test
        void writesShareTransactions() throws Exception {
            LossyStore store = new LossyStore(1);
            store.mLossPercent = 0;
            StoreBatcher batcher = new StoreBatcher(store, Mechanism.CLAIMS, GROUP, new Random(1));
            List<CompletableFuture<PutResult>> results = new ArrayList<>();
            for (int i = 0; i < 640; i++) {
                String key = "k" + i;
                results.add(
                        batcher.put(
                                new ConditionalPut(key, "v", 0, StoreCompare.absent(key)), 5_000));
            }
            for (CompletableFuture<PutResult> result : results) {
                assertThat(result.get(6, TimeUnit.SECONDS).status())
                        .isEqualTo(PutResult.Status.WRITTEN);
            }
            assertThat(store.mTxnCount).isLessThan(30);
        }
    }

    /**
     * A store that loses responses, and may apply a write after its response has been reported
     * lost.
     */
    private static final class LossyStore implements StoreClient {
        private final Map<String, KeyValue> mKeys = new HashMap<>();
        private final Random mRandom;
        private int mLossPercent = 60;
        private int mTxnCount;
        private long mRevision = 1;

        LossyStore(long seed) {
            mRandom = new Random(seed);
        }

        synchronized String storedValue(String key) {
            return mKeys.containsKey(key) ? mKeys.get(key).value() : "";
        }

        @Override
        public synchronized CompletableFuture<TxnResponse> txn(Mechanism mechanism, StoreTxn txn) {
            mTxnCount++;
            CompletableFuture<TxnResponse> result = new CompletableFuture<>();
            boolean lost = mRandom.nextInt(100) < mLossPercent;
            long applyDelayMs = lost ? mRandom.nextInt(150) : 2;
            GROUP.schedule(
                    () -> {
                        TxnResponse answer = apply(txn);
                        if (!lost) {
                            result.complete(answer);
                        }
                    },
                    applyDelayMs,
                    TimeUnit.MILLISECONDS);
            if (lost) {
                GROUP.schedule(
                        () ->
                                result.completeExceptionally(
                                        new StoreException(
                                                StoreException.Kind.UNSETTLED, "lost", null)),
                        5,
                        TimeUnit.MILLISECONDS);
            }
            return result;
        }

        private synchronized TxnResponse apply(StoreTxn txn) {
            boolean holds = txn.conditions().stream().allMatch(c -> c.holds(mKeys.get(c.key())));
            List<List<KeyValue>> reads = new ArrayList<>();
            for (StoreOp op : holds ? txn.onSuccess() : txn.onFailure()) {
                if (op instanceof StoreOp.Put put) {
                    mRevision++;
                    mKeys.put(
                            put.key(),
                            new KeyValue(put.key(), put.value(), mRevision, mRevision, 1, 0));
                    reads.add(List.of());
                } else if (op instanceof StoreOp.Get get) {
                    KeyValue kv = mKeys.get(get.key());
                    reads.add(kv == null ? List.of() : List.of(kv));
                }
            }
            return new TxnResponse(holds, mRevision, reads);
        }

        @Override
        public CompletableFuture<RangeResponse> range(Mechanism m, String key, String rangeEnd) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Long> grantLease(Mechanism mechanism, long ttlSeconds) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Long> keepAlive(Mechanism mechanism, long lease) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> revokeLease(Mechanism mechanism, long lease) {
            return new CompletableFuture<>();
        }

        @Override
        public AutoCloseable watch(String prefix, long startRevision, WatchListener listener) {
            return () -> {};
        }
    }
}
