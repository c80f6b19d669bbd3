package org.lycheeroad.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.StoreException;

class PrefixWatchTest {
    private static final String PREFIX = "p/";
    private static final long LONG_POLL_MS = 1_500;

    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final List<String> mHandled = Collections.synchronizedList(new ArrayList<>());
    private final ListedStore mStore = new ListedStore();

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    /** Guards against a key that ends the watch of all others, because its listener fails on it. */
    @Nested
    class FailingKeys {
        @Test
        void changesBehindAFailingKeyAreDelivered() throws Exception {
            mStore.mResponses.add(List.of(put("p/bad"), put("p/1")));
            mStore.mResponses.add(List.of(new MetadataStore.Change("p/bad", null), put("p/2")));
            mStore.mResponses.add(List.of(put("p/3")));
            start(mStore);
            awaitHandled("p/1", "p/2", "p/3");
        }

        @Test
        void listedKeysBehindAFailingKeyAreDelivered() throws Exception {
            mStore.mListed.add(keyValue("p/bad"));
            mStore.mListed.add(keyValue("p/1"));
            mStore.mResponses.add(List.of(put("p/2")));
            start(mStore);
            awaitHandled("p/1", "p/2");
        }
    }

    @Nested
    class Listings {
        /**
         * Guards against keys that count as deleted because they follow a page of unreadable ones.
         */
        @Test
        void pagesBehindOneWithoutReadableKeysAreListed() throws Exception {
            mStore.mEmptyPageUpTo = "p/0";
            mStore.mListed.add(keyValue("p/1"));
            start(mStore);
            awaitHandled("p/1");
        }
    }

    /** Calls that the store does not answer in time. */
    @Nested
    class UnansweredCalls {
        /** The time after an outage of the store in which all changes must be known. */
        private static final long CONTACT_MS = 4_000;

        private final PendingStore mPending = new PendingStore();

        /**
         * Guards against changes that stay unknown for seconds after an outage of the store,
         * because a call that was lost is given more and more time.
         */
        @Test
        void lostCallIsRepeatedWithinTheContactTime() throws Exception {
            failTwoCalls();
            mPending.nextCall(CONTACT_MS);
            mPending.nextCall(CONTACT_MS).complete(response(2, put("p/1")));
            awaitHandled("p/1");
        }

        /** Guards against a slow response that is dropped although the next one is as slow. */
        @Test
        void responseToACallThatWasRepeatedCounts() throws Exception {
            failTwoCalls();
            var slow = mPending.nextCall(CONTACT_MS);
            var repeated = mPending.nextCall(CONTACT_MS);
            slow.complete(response(2, put("p/1")));
            var next = mPending.nextCall(CONTACT_MS);
            repeated.complete(response(2, put("p/1")));
            next.complete(response(3, put("p/2")));
            awaitHandled("p/1", "p/2");
        }

        /** Guards against one more open call after each repetition. */
        @Test
        void onlyOneCallIsOpenAfterAllWereAnswered() throws Exception {
            failTwoCalls();
            var slow = mPending.nextCall(CONTACT_MS);
            var repeated = mPending.nextCall(CONTACT_MS);
            slow.complete(response(1));
            repeated.complete(response(1));
            mPending.nextCall(CONTACT_MS);
            assertThat(mPending.hasCallWithin(100)).isFalse();
        }

        private void failTwoCalls() throws InterruptedException {
            start(mPending);
            for (int i = 0; i < 2; i++) {
                mPending.nextCall(CONTACT_MS)
                        .completeExceptionally(
                                new StoreException(StoreException.Kind.UNKNOWN, "lost", null));
            }
        }

        private static MetadataStore.WatchResponse response(
                long revision, MetadataStore.Change... changes) {
            return new MetadataStore.WatchResponse(List.of(changes), revision);
        }
    }

    private void start(MetadataStore store) {
        PrefixWatch watch =
                new PrefixWatch(
                        store,
                        mExecutor,
                        PREFIX,
                        LONG_POLL_MS,
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
    private static final class ListedStore extends WatchedStore {
        private final List<KeyValue> mListed = new ArrayList<>();
        private final Deque<List<Change>> mResponses = new ArrayDeque<>();

        /** The key at which a first page without readable keys ends; empty if there is none. */
        private String mEmptyPageUpTo = "";

        @Override
        public CompletableFuture<Page> list(String prefix, String afterKey) {
            return CompletableFuture.completedFuture(
                    afterKey.isEmpty() && !mEmptyPageUpTo.isEmpty()
                            ? new Page(List.of(), mEmptyPageUpTo, 1)
                            : new Page(List.copyOf(mListed), "", 1));
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
    }

    /** A store without keys whose watches are answered by the test or time out. */
    private static final class PendingStore extends WatchedStore {
        private final BlockingQueue<CompletableFuture<WatchResponse>> mCalls =
                new LinkedBlockingQueue<>();

        /** Waits for the next call and removes it. */
        private CompletableFuture<WatchResponse> nextCall(long timeoutMs)
                throws InterruptedException {
            var call = mCalls.poll(timeoutMs, TimeUnit.MILLISECONDS);
            assertThat(call).as("a watch within %d ms", timeoutMs).isNotNull();
            return call;
        }

        private boolean hasCallWithin(long timeoutMs) throws InterruptedException {
            return mCalls.poll(timeoutMs, TimeUnit.MILLISECONDS) != null;
        }

        @Override
        public CompletableFuture<Page> list(String prefix, String afterKey) {
            return CompletableFuture.completedFuture(new Page(List.of(), "", 1));
        }

        @Override
        public CompletableFuture<WatchResponse> watch(
                String prefix, long afterRevision, long waitMs, long slackMs) {
            CompletableFuture<WatchResponse> call = new CompletableFuture<>();
            mCalls.add(call);
            return call.orTimeout(waitMs + slackMs, TimeUnit.MILLISECONDS);
        }
    }

    /** A store that is only listed and watched. */
    private abstract static class WatchedStore implements MetadataStore {
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
