package org.lycheeroad.scheduler.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
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
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.event.TimelineEvent;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.transport.events.EventLog;

/** Guards against API calls that are judged under an older configuration than earlier ones. */
class ConfigGateTest {
    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final FakeConfigStore mPlatformStore = new FakeConfigStore();
    private final EventLog mEventLog = new EventLog(new EntryId("vm"), new HybridClock(), 16);
    private HealthTrackingStore mStore;
    private ConfigCache mCache;
    private ConfigGate mGate;
    private int mAnswered;

    @BeforeEach
    void setUp() throws InterruptedException {
        EventRecorder events = new EventRecorder(mEventLog);
        NodeMetrics metrics = new NodeMetrics();
        HostPort unusedAddress = new HostPort("127.0.0.1", 1);
        mStore = new HealthTrackingStore(mPlatformStore, mExecutor, Clock.system(), events);
        mCache =
                new ConfigCache(
                        mStore,
                        mExecutor,
                        new VersionOnlySchema(),
                        new PeerClient(null, unusedAddress, Optional::empty, List.of()),
                        Clock.system(),
                        events,
                        metrics);
        mGate = new ConfigGate(mCache, Clock.system(), events, metrics);
        mExecutor.start();
        mCache.start();
        while (mPlatformStore.mLongPolls.get() == 0) {
            Thread.sleep(1);
        }
    }

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    @Nested
    class AvailableStore {
        @Test
        void callThatIsServedUnderTheCachedVersionDoesNotWait() {
            assertThat(callServedUntil(1)).isCompletedWithValueMatching(c -> versionOf(c) == 1);
            assertThat(events()).isEmpty();
        }

        /** Many callers with an unknown API key must not cause a store request each. */
        @Test
        void concurrentCallsShareARevalidation() throws Exception {
            List<CompletableFuture<Optional<ClusterConfig>>> calls = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                calls.add(callServedFrom(3));
            }
            List<Long> versions = versions(calls, 1, 3);
            assertThat(versions.get(0)).isEqualTo(1);
            // Later calls must get a response to a request that was sent after them.
            assertThat(versions.subList(1, 20)).containsOnly(3L);
            assertThat(mAnswered).isEqualTo(2);
        }

        /**
         * Guards against a fault seen on fcvf-grown scale-1: a call that waited for a revalidation
         * was served under version 12, but a later call that did not wait was served under version
         * 2.
         */
        @Test
        void laterCallWaitsForTheRevalidationOfAnEarlierOne() throws Exception {
            var earlier = callServedFrom(12);
            var later = callServedUntil(2);
            assertThat(later).isNotDone();
            assertThat(versions(List.of(earlier, later), 12)).containsExactly(12L, 12L);
            assertThat(callServedFrom(12)).isDone();
        }

        /** An incident like inc1 of fcvf must be explicable by the log. */
        @Test
        void logTellsUnderWhichVersionACallWasJudgedAndThatItWaited() throws Exception {
            var call = callServedFrom(2);
            assertThat(versions(List.of(call), 2)).containsExactly(2L);
            assertThat(events())
                    .anySatisfy(e -> assertThat(e).contains("answered_by=store version=2"))
                    .anySatisfy(e -> assertThat(e).contains("path=/q/1 version=2 waited_ms="));
        }
    }

    @Nested
    class UnavailableStore {
        @BeforeEach
        void loseStore() {
            mPlatformStore.loseReads();
            while (!mStore.isUnavailable()) {
                mStore.read("any");
            }
        }

        /**
         * Guards against the incident inc1 of fcvf: while a call waited for a revalidation, a later
         * one was served under an older configuration.
         */
        @Test
        void laterCallIsNotJudgedBeforeAnEarlierOne() throws Exception {
            var earlier = callServedFrom(2);
            var later = callServedUntil(1);
            assertThat(versions(List.of(earlier, later), 2)).containsExactly(2L, 2L);
        }

        /** Guards against refusals of calls that only waited behind others. */
        @Test
        void withoutAnAnswerCallsAreServedByTheCachedVersionIfItSuffices() throws Exception {
            callServedFrom(2);
            var unknown = callServedFrom(2);
            var known = callServedUntil(1);
            mPlatformStore.loseImmediateWatch();
            mPlatformStore.loseImmediateWatch();
            assertThat(known).succeedsWithin(5, TimeUnit.SECONDS);
            assertThat(versionOf(known.join())).isEqualTo(1);
            assertThat(unknown.join()).isEmpty();
        }
    }

    @Nested
    class RepeatedRevalidations {
        /**
         * Guards against a fault seen on steyrtal-buegel scale-1, seed 780186304714: two calls
         * waited for one revalidation; when it ended, the earlier one requested another and was
         * served under version 11, while the later one was served at once under version 3.
         */
        @Test
        void laterCallWaitsForTheRevalidationThatAnEarlierOneRequests() throws Exception {
            var calls = List.of(callServedFrom(11), callServedFrom(11), callServedUntil(3));
            assertThat(versions(calls, 1, 11)).containsExactly(1L, 11L, 11L);
        }

        /**
         * Guards against a call that waits for a bounded number of revalidations and is then judged
         * although an earlier call still waits for a further one.
         */
        @Test
        void callsAreJudgedInTheirOrder() throws Exception {
            var calls =
                    List.of(
                            callServedFrom(3),
                            callServedFrom(3),
                            callServedFrom(3),
                            callServedUntil(2));
            assertThat(versions(calls, 1, 1, 3)).isSorted();
        }

        /** Guards against calls with unknown keys that hold up all others. */
        @Test
        void callWaitsForAtMostTwoRevalidations() throws Exception {
            callServedFrom(9);
            callServedFrom(9);
            var call = callServedUntil(1);
            answerRevalidation(1);
            mPlatformStore.awaitImmediateWatch();
            callServedFrom(9);
            answerRevalidation(1);
            assertThat(call).succeedsWithin(5, TimeUnit.SECONDS);
        }

        /** Guards against orders of calls, changes and answers that no other test has. */
        @Test
        void callsInRandomOrderAreJudgedInTheirOrder() throws Exception {
            long version = 1;
            for (int seed = 0; seed < 50; seed++) {
                version = checkRandomCalls(new Random(seed), version);
            }
        }

        /** Returns the version in the store at the end. */
        private long checkRandomCalls(Random random, long firstVersion) throws Exception {
            long version = firstVersion;
            List<Predicate<ClusterConfig>> queues = new ArrayList<>();
            List<Long> storedAtArrival = new ArrayList<>();
            List<CompletableFuture<Optional<ClusterConfig>>> calls = new ArrayList<>();
            for (int step = 0; step < 40; step++) {
                int action = random.nextInt(4);
                if (action == 0) {
                    version++;
                } else if (action == 1 && mPlatformStore.hasImmediateWatch()) {
                    answerRevalidation(version);
                } else {
                    long limit = version - 1 + random.nextInt(3);
                    queues.add(
                            random.nextBoolean()
                                    ? config -> config.version() >= limit
                                    : config -> config.version() <= limit);
                    storedAtArrival.add(version);
                    calls.add(call(queues.get(queues.size() - 1)));
                }
            }
            List<Long> versions = versions(calls, version);
            assertThat(versions).isSorted();
            for (int i = 0; i < calls.size(); i++) {
                if (!queues.get(i).test(calls.get(i).join().orElseThrow())) {
                    assertThat(versions.get(i))
                            .as("version under which a call is rejected")
                            .isGreaterThanOrEqualTo(storedAtArrival.get(i));
                }
            }
            return version;
        }
    }

    /** Returns the configuration for a call of a queue that was added in a version. */
    private CompletableFuture<Optional<ClusterConfig>> callServedFrom(long version) {
        return call(config -> config.version() >= version);
    }

    /** Returns the configuration for a call of a queue that was removed after a version. */
    private CompletableFuture<Optional<ClusterConfig>> callServedUntil(long version) {
        return call(config -> config.version() <= version);
    }

    private CompletableFuture<Optional<ClusterConfig>> call(Predicate<ClusterConfig> suffices) {
        return mGate.configFor("/q/1", suffices);
    }

    /**
     * Lets the store answer revalidations until all calls are judged.
     *
     * @param answers the version in the store at each revalidation; the last one stays
     * @return the versions under which the calls are judged, in the order of the calls
     */
    private List<Long> versions(
            List<CompletableFuture<Optional<ClusterConfig>>> calls, long... answers)
            throws Exception {
        int next = 0;
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (!calls.stream().allMatch(CompletableFuture::isDone)) {
            assertThat(System.nanoTime()).as("time to judge all calls").isLessThan(deadlineNanos);
            if (mPlatformStore.hasImmediateWatch()) {
                answerRevalidation(answers[Math.min(next++, answers.length - 1)]);
            }
            Thread.sleep(1);
        }
        return calls.stream().map(call -> versionOf(call.join())).toList();
    }

    private void answerRevalidation(long version) throws InterruptedException {
        mPlatformStore.answerImmediateWatch(List.of(FakeConfigStore.configAt(version)));
        mAnswered++;
    }

    private static long versionOf(Optional<ClusterConfig> config) {
        return config.orElseThrow().version();
    }

    /** Returns the texts of the events about revalidations and the calls that they concern. */
    private List<String> events() {
        return mEventLog
                .page(
                        0,
                        e ->
                                e.number() == EventCode.CONFIG_REVALIDATED.number()
                                        || e.number() == EventCode.CALL_JUDGED.number())
                .events()
                .stream()
                .map(TimelineEvent::text)
                .toList();
    }
}
