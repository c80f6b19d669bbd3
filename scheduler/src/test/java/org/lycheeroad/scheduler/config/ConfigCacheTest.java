package org.lycheeroad.scheduler.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.scheduler.HealthTrackingStore;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.peer.PeerClient;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.http.HttpHandler;
import org.lycheeroad.transport.http.HttpServer;

/**
 * Guards against the overload of the link between regions that occurred on day fresh-f951 of
 * fcvf-grown: VMs far from the store read the whole configuration of 1,400 queues for each request
 * that they rejected.
 */
class ConfigCacheTest {
    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final FakeConfigStore mStore = new FakeConfigStore();
    private final AtomicLong mNowMs = new AtomicLong(1_000_000);
    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CountDownLatch mPeerAsked = new CountDownLatch(1);
    private volatile HttpHandler mPeerHandler =
            call -> call.respond(404, "text/plain", Map.of(), new byte[0]);
    private final HttpServer mPeer =
            new HttpServer(ANY_PORT, mEventLoops, 1_000, this::answerAsPeer);
    private HealthTrackingStore mTrackedStore;
    private ConfigCache mCache;

    @BeforeEach
    void setUp() throws Exception {
        mPeer.start();
        HttpClient http = new HttpClient(mEventLoops, 1_000, 1_000);
        Clock clock = new TestClock();
        EventRecorder events =
                new EventRecorder(new EventLog(new EntryId("vm"), new HybridClock(), 16));
        mTrackedStore = new HealthTrackingStore(mStore, mExecutor, clock, events);
        mCache =
                new ConfigCache(
                        mTrackedStore,
                        mExecutor,
                        new VersionOnlySchema(),
                        new PeerClient(http, ANY_PORT, Optional::empty, List.of(mPeer.address())),
                        clock,
                        events,
                        new NodeMetrics());
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
        mPeer.stop();
        mEventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
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
        mStore.answerImmediateWatch(List.of(FakeConfigStore.configAt(2)));
        assertThat(version(revalidated)).isEqualTo(2);
    }

    /** Guards against calls that wait for good after an unexpected error in a configuration. */
    @Test
    void revalidationEndsIfTheConfigurationCannotBeHandled() throws Exception {
        CompletableFuture<Optional<ClusterConfig>> revalidated = mCache.revalidate();
        mStore.answerImmediateWatch(List.of(FakeConfigStore.configOf("not a version")));
        assertThat(revalidated.get(5, TimeUnit.SECONDS)).isEmpty();
    }

    /** Guards against a call that is rejected although its key was confirmed just before it. */
    @Test
    void recentValidationDoesNotReplaceANewOne() throws Exception {
        CompletableFuture<Optional<ClusterConfig>> first = mCache.revalidate();
        mStore.answerImmediateWatch(List.of());
        assertThat(version(first)).isEqualTo(1);
        CompletableFuture<Optional<ClusterConfig>> second = mCache.revalidate();
        mStore.answerImmediateWatch(List.of(FakeConfigStore.configAt(2)));
        assertThat(version(second)).isEqualTo(2);
    }

    @Nested
    class UnavailableStore {
        @BeforeEach
        void loseStore() {
            mPeerHandler = respondUnchanged(Map.of());
            mStore.loseReads();
            while (!mTrackedStore.isUnavailable()) {
                mTrackedStore.read("any");
            }
        }

        /**
         * Guards against calls that are rejected by the word of a peer that is as far behind, while
         * the store is only slow. Seen on fcvf-grown, hunt-28b9-7: a queue was rejected 4.3 s after
         * its confirmation.
         */
        @Test
        void unconfirmedPeerDoesNotReplaceTheStore() throws Exception {
            CompletableFuture<Optional<ClusterConfig>> revalidated = mCache.revalidate();
            mPeerAsked.await();
            mStore.awaitImmediateWatch();
            Thread.sleep(100);
            assertThat(revalidated).isNotDone();
            mStore.answerImmediateWatch(List.of(FakeConfigStore.configAt(2)));
            assertThat(version(revalidated)).isEqualTo(2);
        }

        /**
         * Guards against calls that are rejected by the word of peers that are behind. Seen on
         * fcvf-grown, hunt-28b9-7: a whole region learned of a change 8 s late, and its daemons
         * rejected calls of a new queue by each other's word.
         */
        @Test
        void unconfirmedPeerDoesNotConfirmIfTheStoreDoesNotRespond() throws Exception {
            CompletableFuture<Optional<ClusterConfig>> revalidated = mCache.revalidate();
            mStore.loseImmediateWatch();
            assertThat(revalidated.get(5, TimeUnit.SECONDS)).isEmpty();
        }

        @Test
        void confirmedPeerReplacesTheStore() throws Exception {
            mPeerHandler = respondUnchanged(Map.of("Lycheeroad-Config-Confirmed", "true"));
            assertThat(version(mCache.revalidate())).isEqualTo(1);
        }
    }

    @Nested
    class Confirmation {
        /** The time within which a change has to be in force, in milliseconds. */
        private static final long CONFIG_BOUND_MS = 3_000;

        /** Guards against peers that end the query of others by an outdated configuration. */
        @Test
        void endsWhenTheWatchHasNotReturnedInItsTime() throws Exception {
            CompletableFuture<Optional<ClusterConfig>> revalidated = mCache.revalidate();
            mStore.answerImmediateWatch(List.of());
            assertThat(version(revalidated)).isEqualTo(1);
            assertThat(mCache.isConfirmed()).isTrue();
            mNowMs.addAndGet(CONFIG_BOUND_MS);
            assertThat(mCache.isConfirmed()).isFalse();
        }
    }

    private void answerAsPeer(HttpCall call) {
        mPeerHandler.handle(call);
        mPeerAsked.countDown();
    }

    private static HttpHandler respondUnchanged(Map<String, String> headers) {
        return call -> call.respond(204, "text/plain", headers, new byte[0]);
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
}
