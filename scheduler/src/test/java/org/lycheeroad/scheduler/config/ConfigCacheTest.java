package org.lycheeroad.scheduler.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.peer.PeerClient;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.PlatformSchema;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.WorkerStatus;
import org.lycheeroad.transport.events.EventLog;

/**
 * Guards against the overload of the link between regions that occurred on day fresh-f951 of
 * fcvf-grown: VMs far from the store read the whole configuration of 1,400 queues for each request
 * that they rejected.
 */
class ConfigCacheTest {
    private static final String KEY = "config";

    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final FakeStore mStore = new FakeStore();
    private final AtomicLong mNowMs = new AtomicLong(1_000_000);
    private ConfigCache mCache;

    @BeforeEach
    void setUp() throws InterruptedException {
        HostPort unusedAddress = new HostPort("127.0.0.1", 1);
        mCache =
                new ConfigCache(
                        mStore,
                        mExecutor,
                        new VersionOnlySchema(),
                        new PeerClient(null, unusedAddress, Optional::empty, List.of()),
                        new TestClock(),
                        new EventRecorder(new EventLog(new EntryId("vm"), new HybridClock(), 16)));
        mExecutor.start();
        mCache.start();
        while (mStore.mLongPolls.get() == 0) {
            Thread.sleep(1);
        }
        mNowMs.addAndGet(10_000);
    }

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    /** Revalidating an unchanged configuration must not transfer it. */
    @Test
    void unchangedConfigurationIsRevalidatedWithoutReadingIt() throws Exception {
        CompletableFuture<Optional<ClusterConfig>> revalidated = mCache.revalidate();
        mStore.answerImmediateWatch(List.of());
        assertThat(version(revalidated)).isEqualTo(1);
        assertThat(mStore.mReads).hasValue(0);
    }

    /** A request must not be rejected on the ground of an outdated configuration. */
    @Test
    void changedConfigurationIsAppliedBeforeRevalidationCompletes() throws Exception {
        CompletableFuture<Optional<ClusterConfig>> revalidated = mCache.revalidate();
        mStore.answerImmediateWatch(List.of(FakeStore.configAt(2)));
        assertThat(version(revalidated)).isEqualTo(2);
    }

    /** Many callers with an unknown API key must not cause a store request each. */
    @Test
    void concurrentRevalidationsShareAStoreRequest() throws Exception {
        List<CompletableFuture<Optional<ClusterConfig>>> revalidated = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            revalidated.add(mCache.revalidate());
        }
        mStore.answerImmediateWatch(List.of());
        assertThat(version(revalidated.get(0))).isEqualTo(1);
        // Later calls must get a response to a request that was sent after them.
        mNowMs.addAndGet(10_000);
        mStore.answerImmediateWatch(List.of(FakeStore.configAt(3)));
        for (CompletableFuture<Optional<ClusterConfig>> later : revalidated.subList(1, 20)) {
            assertThat(version(later)).isEqualTo(3);
        }
    }

    /**
     * Guards against a fault seen on fcvf-grown scale-1: a call that waited for a revalidation was
     * served under version 12, but a later call that did not wait was served under version 2.
     */
    @Test
    void laterCallersCanWaitForARevalidationInProgress() throws Exception {
        assertThat(mCache.revalidationInProgress()).isEmpty();
        CompletableFuture<Optional<ClusterConfig>> revalidated = mCache.revalidate();
        while (mCache.revalidationInProgress().isEmpty()) {
            Thread.sleep(1);
        }
        CompletableFuture<Optional<ClusterConfig>> later = mCache.revalidationInProgress().get();
        assertThat(later).isNotDone();
        mStore.answerImmediateWatch(List.of(FakeStore.configAt(12)));
        assertThat(version(later)).isEqualTo(12);
        assertThat(version(revalidated)).isEqualTo(12);
        assertThat(mCache.revalidationInProgress()).isEmpty();
    }

    /**
     * Guards against a fault seen on steyrtal-buegel scale-1, seed 780186304714: two calls waited
     * for one revalidation; when it ended, the earlier one requested another and was served under
     * version 11, while the later one was served at once under version 3.
     */
    @Test
    void laterWaiterSeesTheRevalidationThatAnEarlierOneRequests() throws Exception {
        CompletableFuture<Optional<ClusterConfig>> first = mCache.revalidate();
        CompletableFuture<Optional<ClusterConfig>> earlier =
                mCache.revalidationInProgress()
                        .orElseThrow()
                        .thenCompose(unused -> mCache.revalidate());
        CompletableFuture<Optional<ClusterConfig>> later =
                mCache.revalidationInProgress()
                        .orElseThrow()
                        .thenCompose(unused -> mCache.revalidationInProgress().orElseThrow());
        mStore.answerImmediateWatch(List.of());
        assertThat(version(first)).isEqualTo(1);
        mStore.answerImmediateWatch(List.of(FakeStore.configAt(11)));
        assertThat(version(earlier)).isEqualTo(11);
        assertThat(version(later)).isEqualTo(11);
    }

    /** Guards against a call that is rejected although its key was confirmed just before it. */
    @Test
    void recentValidationDoesNotReplaceANewOne() throws Exception {
        CompletableFuture<Optional<ClusterConfig>> first = mCache.revalidate();
        mStore.answerImmediateWatch(List.of());
        assertThat(version(first)).isEqualTo(1);
        CompletableFuture<Optional<ClusterConfig>> second = mCache.revalidate();
        mStore.answerImmediateWatch(List.of(FakeStore.configAt(2)));
        assertThat(version(second)).isEqualTo(2);
    }

    private static long version(CompletableFuture<Optional<ClusterConfig>> config)
            throws Exception {
        return config.get(5, TimeUnit.SECONDS).orElseThrow().version();
    }

    private final class TestClock implements Clock {
        @Override
        public long monotonicMs() {
            return mNowMs.get();
        }

        @Override
        public long wallMs() {
            return mNowMs.get();
        }
    }

    /** Parses configurations that consist of only their version. */
    private static final class VersionOnlySchema implements PlatformSchema {
        @Override
        public String configKey() {
            return KEY;
        }

        @Override
        public String workerKeyPrefix() {
            return "workers/";
        }

        @Override
        public String evacuationKeyPrefix() {
            return "evacuations/";
        }

        @Override
        public FailureDomainId parseEvacuation(String key) {
            throw new UnsupportedOperationException("parseEvacuation is not used in this test");
        }

        @Override
        public ClusterConfig parseConfig(ByteString value) {
            return new ClusterConfig(Long.parseLong(value.toStringUtf8()), List.of(), List.of());
        }

        @Override
        public WorkerStatus parseWorker(String key, ByteString value) {
            throw new UnsupportedOperationException("parseWorker is not used in this test");
        }
    }

    /** A store whose responses to watches without a wait time are given by the test. */
    private static final class FakeStore implements MetadataStore {
        private final AtomicInteger mReads = new AtomicInteger();
        private final AtomicInteger mLongPolls = new AtomicInteger();
        private final List<CompletableFuture<WatchResponse>> mImmediateWatches = new ArrayList<>();

        static KeyValue configAt(long version) {
            return new KeyValue(KEY, ByteString.copyFromUtf8(Long.toString(version)), version, 0);
        }

        /** Waits for a watch without a wait time and completes it. */
        synchronized void answerImmediateWatch(List<KeyValue> keyValues)
                throws InterruptedException {
            while (mImmediateWatches.isEmpty()) {
                wait(10);
            }
            List<Change> changes = keyValues.stream().map(kv -> new Change(KEY, kv)).toList();
            mImmediateWatches.remove(0).complete(new WatchResponse(changes, 10));
        }

        @Override
        public CompletableFuture<Page> list(String prefix, String afterKey) {
            return CompletableFuture.completedFuture(new Page(List.of(configAt(1)), "", 5));
        }

        @Override
        public synchronized CompletableFuture<WatchResponse> watch(
                String prefix, long afterRevision, long waitMs, long slackMs) {
            CompletableFuture<WatchResponse> response = new CompletableFuture<>();
            if (waitMs > 0) {
                mLongPolls.incrementAndGet();
            } else {
                assertThat(afterRevision).isEqualTo(5);
                mImmediateWatches.add(response);
                notifyAll();
            }
            return response;
        }

        @Override
        public CompletableFuture<Optional<KeyValue>> read(String key) {
            mReads.incrementAndGet();
            return CompletableFuture.completedFuture(Optional.of(configAt(1)));
        }

        @Override
        public CompletableFuture<CommitResult> commit(Transaction transaction) {
            throw new UnsupportedOperationException("commit is not used in this test");
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMs) {
            throw new UnsupportedOperationException("leases are not used in this test");
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long leaseId) {
            throw new UnsupportedOperationException("leases are not used in this test");
        }

        @Override
        public CompletableFuture<Boolean> revokeLease(long leaseId) {
            throw new UnsupportedOperationException("leases are not used in this test");
        }
    }
}
