package org.lycheeroad.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.scheduler.port.MetadataStore;

/** Guards against a key that ends the watch of all others, because its listener fails on it. */
class PrefixWatchTest {
    private static final String PREFIX = "p/";

    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final List<String> mHandled = Collections.synchronizedList(new ArrayList<>());
    private final ListedStore mStore = new ListedStore();

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    @Test
    void changesBehindAFailingKeyAreDelivered() throws Exception {
        mStore.mResponses.add(List.of(put("p/bad"), put("p/1")));
        mStore.mResponses.add(List.of(new MetadataStore.Change("p/bad", null), put("p/2")));
        mStore.mResponses.add(List.of(put("p/3")));
        start();
        awaitHandled("p/1", "p/2", "p/3");
    }

    @Test
    void listedKeysBehindAFailingKeyAreDelivered() throws Exception {
        mStore.mListed.add(keyValue("p/bad"));
        mStore.mListed.add(keyValue("p/1"));
        mStore.mResponses.add(List.of(put("p/2")));
        start();
        awaitHandled("p/1", "p/2");
    }

    private void start() {
        PrefixWatch watch =
                new PrefixWatch(
                        mStore,
                        mExecutor,
                        PREFIX,
                        1_000,
                        new PrefixWatch.Listener() {
                            @Override
                            public void onSnapshot(List<MetadataStore.KeyValue> keyValues) {
                                PrefixWatch.forEach(keyValues, this::onPut);
                            }

                            @Override
                            public void onPut(MetadataStore.KeyValue keyValue) {
                                onDelete(keyValue.key());
                            }

                            @Override
                            public void onDelete(String key) {
                                if (key.equals("p/bad")) {
                                    throw new IllegalArgumentException("cannot handle " + key);
                                }
                                mHandled.add(key);
                            }
                        });
        mExecutor.start();
        mExecutor.execute(watch::start);
    }

    private void awaitHandled(String... keys) throws InterruptedException {
        for (int i = 0; i < 500 && mHandled.size() < keys.length; i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(mHandled).containsExactly(keys);
    }

    private static MetadataStore.Change put(String key) {
        return new MetadataStore.Change(key, keyValue(key));
    }

    private static MetadataStore.KeyValue keyValue(String key) {
        return new MetadataStore.KeyValue(key, ByteString.EMPTY, 1, 0);
    }

    /** A store that answers a listing and then one watch for each prepared response. */
    private static final class ListedStore implements MetadataStore {
        private final List<KeyValue> mListed = new ArrayList<>();
        private final Deque<List<Change>> mResponses = new ArrayDeque<>();

        @Override
        public CompletableFuture<Page> list(String prefix, String afterKey) {
            return CompletableFuture.completedFuture(new Page(List.copyOf(mListed), false, 1));
        }

        @Override
        public CompletableFuture<WatchResponse> watch(
                String prefix, long afterRevision, long waitMs, long slackMs) {
            List<Change> changes = mResponses.poll();
            return changes == null
                    ? new CompletableFuture<>()
                    : CompletableFuture.completedFuture(
                            new WatchResponse(changes, afterRevision + 1));
        }

        @Override
        public CompletableFuture<Optional<KeyValue>> read(String key) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<CommitResult> commit(Transaction transaction) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMs) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Boolean> revokeLease(long leaseId) {
            throw new UnsupportedOperationException();
        }
    }
}
