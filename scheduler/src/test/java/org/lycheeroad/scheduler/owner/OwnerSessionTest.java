package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.jobs.OrderAnswer;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.scheduler.HealthTrackingStore;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.config.ConfigCache;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.peer.PeerClient;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.PlatformSchema;
import org.lycheeroad.scheduler.port.StoreException;
import org.lycheeroad.scheduler.port.WorkerGateway;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerStatus;
import org.lycheeroad.transport.events.EventLog;

class OwnerSessionTest {
    private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);
    private static final String CONFIG_KEY = "config";
    private static final String WORKER_PREFIX = "workers/";
    private static final String EVACUATION_PREFIX = "evacuations/";
    private static final QueueName QUEUE = new QueueName("queue");
    private static final ServiceName SERVICE = new ServiceName("service");

    /** A worker whose entry makes every decision round fail once the worker has answered. */
    private static final String BROKEN = "broken";

    private static final String LATER = "later";

    /** A worker that answers no poll. */
    private static final String SILENT = "silent";

    private static final String DOMAIN = "north";
    private static final long BORN_MS = 1_000;
    private static final long TIMEOUT_MS = 5_000;

    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final FakeStore mStore = new FakeStore();
    private final CountingGateway mGateway = new CountingGateway();
    private final ManualClock mClock = new ManualClock();

    /** Starts a session; {@code evacuationMs} is 0 if the operators cannot evacuate domains. */
    private void startSession(long evacuationMs) {
        mExecutor.start();
        startSession(evacuationMs, new Term(1, 10, 1, mClock));
    }

    private OwnerSession startSession(long evacuationMs, Term term) {
        EventRecorder events =
                new EventRecorder(new EventLog(new EntryId("vm"), new HybridClock(), 16));
        ConfigCache config =
                new ConfigCache(
                        new HealthTrackingStore(mStore, mExecutor, mClock, events),
                        mExecutor,
                        new FakeSchema(),
                        new PeerClient(null, ADDRESS, Optional::empty, List.of()),
                        mClock,
                        events,
                        new NodeMetrics());
        term.extendLease(mClock.monotonicMs() + 100_000, Term.wallClockOffsetMs(mClock));
        OwnerSession session =
                new OwnerSession(
                        mStore,
                        mGateway,
                        (question, timeoutMs) -> new CompletableFuture<>(),
                        new FakeSchema(),
                        config,
                        mExecutor,
                        term,
                        settings(evacuationMs),
                        mClock,
                        events,
                        new NodeMetrics(),
                        () -> {});
        mExecutor.setIdleAction(session::runSchedulingPass);
        mExecutor.execute(config::start);
        mExecutor.execute(session::start);
        return session;
    }

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    /**
     * Guards against one error in the decisions that ends the work of all workers: a worker that is
     * never polled loses its lease.
     */
    @Test
    void workersArePolledEvenIfTheDecisionRoundFails() throws Exception {
        mStore.mListsBrokenWorker = true;
        startSession(0);
        await(() -> mGateway.pollCount(BROKEN) >= 1);
        mStore.register(LATER);
        await(() -> mGateway.pollCount(LATER) >= 1);
        assertThat(mGateway.mStarts).hasValue(0);
    }

    @Nested
    class Evacuations {
        private static final long EVACUATION_MS = 5_000;

        /** Guards against starts of a new owner in a domain that was evacuated before its term. */
        @Test
        void nothingStartsBeforeTheyAreListed() throws Exception {
            mStore.mListsEvacuations = false;
            startSession(EVACUATION_MS);
            mStore.register(LATER);
            await(() -> mStore.mEvacuationListings.get() >= 4);
            assertThat(mStore.mCommits).hasValue(0);
            mStore.mListsEvacuations = true;
            await(() -> mStore.mCommits.get() > 0);
        }

        @Test
        void nothingStartsInAListedDomain() throws Exception {
            mStore.mEvacuated = true;
            startSession(EVACUATION_MS);
            mStore.register(LATER);
            await(() -> mGateway.pollCount(LATER) >= 1);
            awaitDecisions();
            assertThat(mStore.mCommits).hasValue(0);
            mStore.endEvacuation();
            await(() -> mStore.mCommits.get() > 0);
        }
    }

    @Nested
    class OwnerChanges {
        private static final long TERM_MS = 4_000;

        /**
         * Guards against a wait for the leases of a silent worker that each owner begins anew, so
         * that its tasks start nowhere while owners change (LOST).
         */
        @Test
        void waitForTheLeasesOfASilentWorkerContinuesUnderTheNextOwner() throws Exception {
            mStore.applyCommits();
            mStore.addRun(SILENT);
            mExecutor.start();
            OwnerSession first = startSession(0, new Term(1, 10, 1, mClock));
            mStore.register(LATER);
            await(() -> mGateway.pollCount(LATER) >= 1);
            awaitDecisions(TERM_MS);
            assertThat(mGateway.mStarts).hasValue(0);
            mExecutor.execute(first::stop);
            startSession(0, new Term(2, 20, 1, mClock));
            awaitDecisions(1_500);
            assertThat(mGateway.mStarts).as("starts before the lease may have ended").hasValue(0);
            awaitDecisions(TERM_MS - 1_500);
            assertThat(mGateway.mStarts).hasValue(1);
        }
    }

    /**
     * Guards against runs that are taken as over by the record of silent workers before the entries
     * show whether their workers have restarted, so that a late start runs them twice.
     */
    @Test
    void noRunIsOverBeforeTheWorkersAreListed() throws Exception {
        mStore.applyCommits();
        mStore.addRun(SILENT);
        mStore.put(
                StoreKeys.SILENT_WORKERS,
                ByteString.copyFromUtf8(Json.write(new SilentWorkers(Map.of(SILENT, 0L)))));
        mStore.mListsWorkers = false;
        startSession(0);
        await(() -> mStore.mWorkerListings.get() >= 2);
        awaitDecisions();
        assertThat(mStore.mCommits).hasValue(0);
        mStore.mListsWorkers = true;
        await(() -> mStore.mCommits.get() > 0);
    }

    private void awaitDecisions() throws InterruptedException {
        awaitDecisions(1_000);
    }

    /** Lets the session decide each 100 ms, with time for its calls between. */
    private void awaitDecisions(long durationMs) throws InterruptedException {
        for (long ms = 0; ms < durationMs; ms += 100) {
            mClock.advance(100);
            CountDownLatch ran = new CountDownLatch(1);
            mExecutor.execute(ran::countDown);
            assertThat(ran.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
            Thread.sleep(10);
        }
    }

    private interface Condition {
        boolean holds();
    }

    private void await(Condition condition) throws InterruptedException {
        long deadlineMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (!condition.holds()) {
            assertThat(System.currentTimeMillis()).as("time").isLessThan(deadlineMs);
            mClock.advance(10);
            Thread.sleep(10);
        }
    }

    private static NodeSettings settings(long evacuationMs) {
        return new NodeSettings(
                new EntryId("vm"),
                new RegionId("region"),
                new FailureDomainId("domain"),
                ADDRESS,
                List.of(),
                6_000,
                2_700,
                3,
                120_000,
                6_000,
                1_000,
                evacuationMs,
                false,
                0);
    }

    /** A store with one job and one worker, to which a test adds another. */
    private static final class FakeStore implements MetadataStore {
        private final CompletableFuture<WatchResponse> mWorkerWatch = new CompletableFuture<>();
        private final CompletableFuture<WatchResponse> mEvacuationWatch = new CompletableFuture<>();
        private final AtomicInteger mCommits = new AtomicInteger();
        private final AtomicInteger mEvacuationListings = new AtomicInteger();
        private volatile boolean mListsBrokenWorker;
        private final AtomicInteger mWorkerListings = new AtomicInteger();
        private volatile boolean mListsEvacuations = true;
        private volatile boolean mListsWorkers = true;
        private volatile boolean mEvacuated;

        /** The keys that were written; null if commits get no response. */
        private volatile Map<String, KeyValue> mWritten;

        private long mRevision = 100;

        private void applyCommits() {
            mWritten = new ConcurrentHashMap<>();
        }

        /** Adds the record of a run of the job on a worker without an entry. */
        private void addRun(String worker) {
            TaskProgress task =
                    new TaskProgress(0, 0, 0, 1, 0, 0, false, new WorkerId(worker), BORN_MS, "");
            put(
                    StoreKeys.progressKey(new JobId("j1")),
                    ByteString.copyFromUtf8(
                            Json.write(new ProgressRecord(WorkState.ACTIVE, List.of(task)))));
        }

        private void put(String key, ByteString value) {
            mWritten.put(key, new KeyValue(key, value, ++mRevision, 0));
        }

        private void register(String worker) {
            KeyValue entry = new KeyValue(WORKER_PREFIX + worker, ByteString.EMPTY, 2, 0);
            mWorkerWatch.complete(new WatchResponse(List.of(new Change(entry.key(), entry)), 2));
        }

        private void endEvacuation() {
            mEvacuationWatch.complete(
                    new WatchResponse(List.of(new Change(EVACUATION_PREFIX + DOMAIN, null)), 2));
        }

        @Override
        public CompletableFuture<Page> list(String prefix, String afterKey) {
            List<KeyValue> page = new ArrayList<>();
            if (prefix.equals(CONFIG_KEY)) {
                page.add(new KeyValue(CONFIG_KEY, ByteString.EMPTY, 1, 0));
            } else if (prefix.equals(WORKER_PREFIX) && !mListsWorkers) {
                mWorkerListings.incrementAndGet();
                return CompletableFuture.failedFuture(
                        new StoreException(StoreException.Kind.REFUSED, "busy", null));
            } else if (prefix.equals(EVACUATION_PREFIX)) {
                mEvacuationListings.incrementAndGet();
                if (!mListsEvacuations) {
                    return CompletableFuture.failedFuture(
                            new StoreException(StoreException.Kind.REFUSED, "busy", null));
                }
                if (mEvacuated) {
                    page.add(new KeyValue(EVACUATION_PREFIX + DOMAIN, ByteString.EMPTY, 1, 0));
                }
            } else if (prefix.equals(WORKER_PREFIX) && mListsBrokenWorker) {
                page.add(new KeyValue(WORKER_PREFIX + BROKEN, ByteString.EMPTY, 1, 0));
            } else if (prefix.equals(StoreKeys.INTAKE_PREFIX)) {
                StepPlan step = StepPlan.unconstrained(1, Resources.NONE, 1_000);
                JobPlan plan = new JobPlan("spec", List.of(step), 0, 0, 0);
                JobRecord job = new JobRecord(QUEUE, new TeamId("team"), plan, 0);
                page.add(
                        new KeyValue(
                                StoreKeys.jobKey(new JobId("j1")),
                                ByteString.copyFromUtf8(Json.write(job)),
                                1,
                                0));
            }
            if (mWritten != null) {
                mWritten.values().stream()
                        .filter(kv -> kv.key().startsWith(prefix))
                        .forEach(page::add);
            }
            return CompletableFuture.completedFuture(new Page(page, "", 1));
        }

        @Override
        public CompletableFuture<WatchResponse> watch(
                String prefix, long afterRevision, long waitMs, long slackMs) {
            if (afterRevision > 1) {
                return new CompletableFuture<>();
            }
            return switch (prefix) {
                case WORKER_PREFIX -> mWorkerWatch;
                case EVACUATION_PREFIX -> mEvacuationWatch;
                default -> new CompletableFuture<>();
            };
        }

        @Override
        public CompletableFuture<Optional<KeyValue>> read(String key) {
            return CompletableFuture.completedFuture(
                    Optional.ofNullable(mWritten == null ? null : mWritten.get(key)));
        }

        @Override
        public CompletableFuture<CommitResult> commit(Transaction transaction) {
            mCommits.incrementAndGet();
            if (mWritten == null) {
                return new CompletableFuture<>();
            }
            transaction.puts().forEach(put -> put(put.key(), put.value()));
            return CompletableFuture.completedFuture(new CommitResult.Committed(mRevision));
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMs) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long leaseId) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Boolean> revokeLease(long leaseId) {
            return new CompletableFuture<>();
        }
    }

    private static final class FakeSchema implements PlatformSchema {
        @Override
        public String configKey() {
            return CONFIG_KEY;
        }

        @Override
        public String workerKeyPrefix() {
            return WORKER_PREFIX;
        }

        @Override
        public String evacuationKeyPrefix() {
            return EVACUATION_PREFIX;
        }

        @Override
        public FailureDomainId parseEvacuation(String key) {
            return new FailureDomainId(key.substring(EVACUATION_PREFIX.length()));
        }

        @Override
        public ClusterConfig parseConfig(ByteString value) {
            QueueConfig queue =
                    new QueueConfig(QUEUE, "host", "/", SERVICE, 0, 1, 1.5, 600, false, null);
            return new ClusterConfig(1, List.of(queue), List.of());
        }

        @Override
        public WorkerStatus parseWorker(String key, ByteString value) {
            String id = key.substring(WORKER_PREFIX.length());
            return new WorkerStatus(
                    new WorkerId(id),
                    BORN_MS,
                    ADDRESS,
                    SERVICE,
                    false,
                    0,
                    id.equals(BROKEN) ? null : new Resources(1_000, 1_000, 1),
                    Set.of(),
                    new RackId("r1"),
                    "",
                    new FailureDomainId(DOMAIN));
        }
    }

    /** Answers all polls with an empty report, and counts them. */
    private static final class CountingGateway implements WorkerGateway {
        private final Map<WorkerId, Integer> mPolls = new ConcurrentHashMap<>();
        private final AtomicInteger mStarts = new AtomicInteger();

        private int pollCount(String worker) {
            return mPolls.getOrDefault(new WorkerId(worker), 0);
        }

        @Override
        public CompletableFuture<OrderAnswer> start(
                WorkerEndpoint endpoint,
                RunRef run,
                String spec,
                String checkpoint,
                String ticket,
                long leaseUntilMs) {
            mStarts.incrementAndGet();
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<OrderAnswer> stop(WorkerEndpoint endpoint, RunRef run) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<OrderAnswer> throttle(
                WorkerEndpoint endpoint, RunRef run, int percent) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<PollReply> poll(
                WorkerEndpoint endpoint, long acknowledgedEnd, long leaseUntilMs, long waitMs) {
            mPolls.merge(endpoint.workerId(), 1, Integer::sum);
            if (endpoint.workerId().value().equals(SILENT)) {
                return CompletableFuture.completedFuture(new PollReply(OrderAnswer.UNKNOWN, null));
            }
            WorkerRuns runs = new WorkerRuns(BORN_MS, BORN_MS, List.of(), List.of(), true);
            return CompletableFuture.completedFuture(new PollReply(OrderAnswer.ACCEPTED, runs));
        }
    }
}
