package org.lycheeroad.scheduler.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
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

/**
 * Guards against the overload of the link between regions that occurred on day fresh-f951 of
 * fcvf-grown: VMs far from the store read the whole configuration of 1,400 queues for each request
 * that they rejected.
 */
class ConfigCacheTest {
    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final FakeConfigStore mStore = new FakeConfigStore();
    private final AtomicLong mNowMs = new AtomicLong(1_000_000);
    private ConfigCache mCache;

    @BeforeEach
    void setUp() throws InterruptedException {
        HostPort unusedAddress = new HostPort("127.0.0.1", 1);
        Clock clock = new TestClock();
        EventRecorder events =
                new EventRecorder(new EventLog(new EntryId("vm"), new HybridClock(), 16));
        mCache =
                new ConfigCache(
                        new HealthTrackingStore(mStore, mExecutor, clock, events),
                        mExecutor,
                        new VersionOnlySchema(),
                        new PeerClient(null, unusedAddress, Optional::empty, List.of(), mTimers),
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
