package org.lycheeroad.scheduler.owner;

import com.google.protobuf.ByteString;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lycheeroad.coordination.jobs.DroppedRun;
import org.lycheeroad.coordination.jobs.JobAction;
import org.lycheeroad.coordination.jobs.JobScheduler;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.coordination.jobs.OrderAnswer;
import org.lycheeroad.coordination.jobs.SchedulerSettings;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore.CommitResult;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.MetadataStore.Transaction;
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
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.TeamConfig;
import org.lycheeroad.state.work.WorkerStatus;
import org.lycheeroad.transport.events.EventLog;

/**
 * Simulates workers, their network, a store and a sequence of owners in virtual time with seeded
 * faults. Owners use the real {@link JobScheduler} and {@link WorkerSession}; rules are checked by
 * what the workers see.
 */
final class WorkerFaultSimulation {
    /** A class of faults. */
    enum Fault {
        /** Clocks of workers are up to 2% slow; without it they are exact. */
        SLOW_CLOCKS,
        /** Calls that are never carried out. */
        LOST_CALLS,
        /** Calls that are carried out 2 to 12 s later and get no answer. */
        LATE_CALLS,
        /** Calls that are carried out, but get no answer. */
        LOST_ANSWERS,
        /** Calls that arrive up to 1 s later. */
        DELAYS,
        PARTITIONS,
        /** Phases in which workers answer 503 and do nothing. */
        UNHEALTHY,
        /** Phases of 40 s and more without runs, during which clocks are not read. */
        IDLE_PHASES,
        /** Crashes of workers that restart under the same id. */
        RESTARTS,
        OWNER_CHANGES
    }

    /** A defect that is injected to show that the checks detect it. */
    enum Defect {
        NONE,
        /** Clocks of workers are slower than owners assume. */
        VERY_SLOW_CLOCKS,
        /** Runs start before their records are saved. */
        START_BEFORE_SAVE,
        /** Ends are acknowledged to workers before they are saved. */
        ACKNOWLEDGE_UNSAVED_ENDS,
        /** New owners do not learn of jobs without saved progress. */
        FORGET_JOBS
    }

    private static final int WORKERS = 4;
    private static final int BURSTS = 3;
    private static final int JOBS_PER_BURST = 5;
    private static final long BURST_MS = 12_000;
    private static final long TICK_MS = 20;
    private static final long DISTURBANCE_INTERVAL_MS = 200;

    /** Late calls arrive within 12 s, so nothing can start after this time. */
    private static final long CALM_MS = 13_000;

    private static final long MAX_END_DELAY_MS = 120_000;
    private static final long WALL_OFFSET_MS = 1_700_000_000_000L;

    /** As in the gateway that production uses. */
    private static final long REQUEST_TIMEOUT_MS = 500;

    private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final TeamId TEAM = new TeamId("team");
    private static final QueueName QUEUE = new QueueName("queue");
    private static final Resources CAPACITY = new Resources(16_000, 32_000, 8);
    private static final NodeMetrics METRICS = new NodeMetrics();

    private static final NodeSettings SETTINGS =
            new NodeSettings(
                    new EntryId("vm"),
                    new RegionId("region"),
                    new FailureDomainId("domain"),
                    ADDRESS,
                    List.of(),
                    SimulatedWorker.MAX_LEASE_MS,
                    2_700,
                    3,
                    120_000,
                    6_000,
                    1_000,
                    0,
                    false,
                    0);

    private static final ClusterConfig CONFIG =
            new ClusterConfig(
                    1,
                    List.of(
                            new QueueConfig(
                                    QUEUE, "host", "/q", SERVICE, 1, 3, 3, 1_500, false, null)),
                    List.of(new TeamConfig(TEAM, List.of("key"), 16)));

    /** A success that a worker has seen. */
    private static final class Success {
        private final SimulatedWorker mWorker;
        private final RunRef mRun;
        private final long mEndNumber;
        private final long mBornMs;
        private final int mLapses;
        private boolean mAcknowledged;

        /** A run that started between the end and its acknowledgement. */
        private RunRef mStartedAfter;

        Success(SimulatedWorker worker, RunRef run, long endNumber) {
            mWorker = worker;
            mRun = run;
            mEndNumber = endNumber;
            mBornMs = worker.bornMs();
            mLapses = worker.lapses();
        }

        /** Returns whether the worker has kept its leases and its memory since the end. */
        boolean isBinding() {
            return mLapses == mWorker.lapses();
        }
    }

    /** An action at a virtual time; actions at the same time run in order of creation. */
    private record Event(long timeMs, long order, Runnable action) {}

    /** One owner during its term. */
    private final class Owner {
        private final JobScheduler mScheduler =
                new JobScheduler(
                        new SchedulerSettings(
                                3,
                                2_700,
                                WorkerSession.latestLeaseExpiryMs(0, SETTINGS.maxWorkerLeaseMs()),
                                120_000,
                                false));
        private final Map<WorkerId, WorkerSession> mSessions = new LinkedHashMap<>();
        private final Map<JobId, Long> mSavedVersions = new HashMap<>();
        private final Term mTerm = new Term(++mEpoch, mEpoch, 1, mClock);
        private final SilentWorkerRecorder mSilentWorkers =
                new SilentWorkerRecorder(
                        mSilentWorkerStore, mExecutor, mTerm, mClock, this::onSuperseded);

        Owner() {
            if (mSilentWorkerStore.mRecord != null) {
                try {
                    mSilentWorkers.onLoaded(mSilentWorkerStore.mRecord);
                } catch (JsonException e) {
                    mViolations.add("MODEL: " + e.getMessage());
                }
            }
            mTerm.extendLease(Long.MAX_VALUE, Term.wallClockOffsetMs(mClock));
            mScheduler.onConfig(CONFIG);
            mAcceptedJobs.forEach(
                    (id, record) -> {
                        ProgressRecord saved = mSavedProgress.get(id);
                        if (saved != null || mDefect != Defect.FORGET_JOBS) {
                            mScheduler.onJob(id, record, saved, 0, mNowMs);
                        }
                    });
            mCancelledJobs.forEach(id -> mScheduler.onCancel(id, mNowMs));
            mWorkers.values().forEach(worker -> onEntry(mEntries.get(worker)));
        }

        void onEntry(WorkerStatus entry) {
            mScheduler.onWorkerEntry(entry, mNowMs);
            WorkerSession session = mSessions.get(entry.id());
            if (session != null) {
                session.update(entry);
                return;
            }
            mSessions.put(
                    entry.id(),
                    new WorkerSession(
                            entry,
                            mGateway,
                            mExecutor,
                            mScheduler,
                            mTerm,
                            SETTINGS,
                            mClock,
                            mRecorder,
                            METRICS,
                            mSilentWorkers,
                            this::onSuperseded));
        }

        private void onSuperseded() {
            if (mOwner == this) {
                mViolations.add("MODEL: the current owner is fenced off");
            }
        }

        void stop() {
            mSilentWorkers.stop();
            mSessions.values().forEach(WorkerSession::stop);
        }

        /** As the owner session of production does it. */
        void pass() {
            mSessions.values().forEach(WorkerSession::checkLeaseExpiry);
            Map<WorkerId, Long> silent = new HashMap<>();
            mSessions.forEach(
                    (id, session) -> {
                        if (!mScheduler.mayRunByCallsInTransit(id, mNowMs)) {
                            session.silentUntilMs().ifPresent(ms -> silent.put(id, ms));
                        }
                    });
            if (mRecordsSilentWorkers) {
                mSilentWorkers.update(silent);
            }
            mScheduler.runDecisionRound(mNowMs, mNowMs + WALL_OFFSET_MS);
            for (JobAction action : mScheduler.takeActions()) {
                trace("owner", action);
                WorkerSession session = mSessions.get(action.worker());
                if (action instanceof JobAction.Start start) {
                    session.start(start);
                } else if (action instanceof JobAction.Stop stop) {
                    session.stop(stop);
                }
            }
            for (DroppedRun dropped : mScheduler.takeDroppedRuns()) {
                trace("owner", dropped);
            }
            for (UnsavedProgress unsaved : mScheduler.takeUnsavedProgress()) {
                save(unsaved);
            }
            mSessions.values().forEach(WorkerSession::pollIfDue);
        }

        private void save(UnsavedProgress unsaved) {
            if (mDefect == Defect.START_BEFORE_SAVE) {
                mScheduler.onSaved(unsaved.job(), unsaved.version(), mNowMs);
            }
            schedule(
                    mRandom.nextInt(150),
                    () -> {
                        // The store rejects writes of earlier owners, and commits are in order.
                        if (mOwner == this
                                && unsaved.version()
                                        > mSavedVersions.getOrDefault(unsaved.job(), -1L)) {
                            mSavedVersions.put(unsaved.job(), unsaved.version());
                            mSavedProgress.put(unsaved.job(), unsaved.progress());
                            mScheduler.onSaved(unsaved.job(), unsaved.version(), mNowMs);
                        }
                    });
        }
    }

    /** Holds the record of silent workers; some commits get no answer and are carried out late. */
    private final class SilentWorkerStore extends ScriptedStore {
        private static final double UNANSWERED_SHARE = 0.2;
        private static final int MAX_LATENCY_MS = 60;
        private static final int MAX_LATE_MS = 3_000;

        /**
         * Separate, so that the other faults of a seed are the same with and without the record.
         */
        private final Random mStoreRandom;

        private KeyValue mRecord;
        private long mRevision;

        SilentWorkerStore(long seed) {
            mStoreRandom = new Random(seed);
        }

        @Override
        public synchronized CompletableFuture<CommitResult> commit(Transaction transaction) {
            CompletableFuture<CommitResult> result = new CompletableFuture<>();
            boolean answered = mStoreRandom.nextDouble() >= UNANSWERED_SHARE;
            schedule(
                    mStoreRandom.nextInt(answered ? MAX_LATENCY_MS : MAX_LATE_MS),
                    () -> {
                        CommitResult done = apply(transaction);
                        if (answered) {
                            result.complete(done);
                        }
                    });
            if (!answered) {
                schedule(
                        REQUEST_TIMEOUT_MS,
                        () -> result.completeExceptionally(new IllegalStateException("no answer")));
            }
            return result;
        }

        private CommitResult apply(Transaction transaction) {
            KeyValue owner = new KeyValue(StoreKeys.OWNER, ByteString.EMPTY, mEpoch, 0);
            long revision = mRecord == null ? 0 : mRecord.revision();
            if (transaction.conditions().get(0).revision() != mEpoch
                    || transaction.conditions().get(1).revision() != revision) {
                Map<String, KeyValue> current = new HashMap<>();
                current.put(StoreKeys.OWNER, owner);
                current.put(StoreKeys.SILENT_WORKERS, mRecord);
                return new CommitResult.Conflict(current);
            }
            mRecord =
                    new KeyValue(
                            StoreKeys.SILENT_WORKERS,
                            transaction.puts().get(0).value(),
                            ++mRevision,
                            0);
            return new CommitResult.Committed(mRevision);
        }
    }

    /** Carries calls to the simulated workers. */
    private final class SimulatedGateway implements WorkerGateway {
        @Override
        public CompletableFuture<OrderAnswer> start(
                WorkerEndpoint endpoint,
                RunRef run,
                String spec,
                String checkpoint,
                String ticket,
                long leaseUntilMs) {
            SimulatedWorker worker = mWorkers.get(endpoint.workerId());
            return call(
                    worker,
                    REQUEST_TIMEOUT_MS,
                    OrderAnswer.UNKNOWN,
                    OrderAnswer.UNHEALTHY,
                    "start " + run + " until " + leaseUntilMs,
                    reply -> reply.accept(start(worker, run, leaseUntilMs, endpoint.epoch())));
        }

        private OrderAnswer start(
                SimulatedWorker worker, RunRef run, long leaseUntilMs, long epoch) {
            boolean wasRunning = worker.isRunning(run);
            OrderAnswer answer = worker.start(run, leaseUntilMs, epoch, drawDurationMs());
            if (answer == OrderAnswer.ACCEPTED && !wasRunning) {
                checkStart(worker, run);
            }
            return answer;
        }

        @Override
        public CompletableFuture<OrderAnswer> stop(WorkerEndpoint endpoint, RunRef run) {
            SimulatedWorker worker = mWorkers.get(endpoint.workerId());
            return call(
                    worker,
                    REQUEST_TIMEOUT_MS,
                    OrderAnswer.UNKNOWN,
                    OrderAnswer.UNHEALTHY,
                    "stop " + run,
                    reply -> reply.accept(worker.stop(run, endpoint.epoch())));
        }

        @Override
        public CompletableFuture<OrderAnswer> throttle(
                WorkerEndpoint endpoint, RunRef run, int percent) {
            throw new UnsupportedOperationException("no best-effort tasks are simulated");
        }

        @Override
        public CompletableFuture<PollReply> poll(
                WorkerEndpoint endpoint, long acknowledgedEnd, long leaseUntilMs, long waitMs) {
            SimulatedWorker worker = mWorkers.get(endpoint.workerId());
            return call(
                    worker,
                    waitMs + REQUEST_TIMEOUT_MS,
                    new PollReply(OrderAnswer.UNKNOWN, null),
                    new PollReply(OrderAnswer.UNHEALTHY, null),
                    "poll acknowledging " + acknowledgedEnd + " until " + leaseUntilMs,
                    reply -> {
                        long observed =
                                mDefect == Defect.ACKNOWLEDGE_UNSAVED_ENDS
                                        ? worker.lastEndNumber()
                                        : acknowledgedEnd;
                        if (worker.poll(observed, leaseUntilMs, waitMs, endpoint.epoch(), reply)) {
                            checkAcknowledgement(worker, observed);
                        }
                    });
        }
    }

    private final Random mRandom;
    private final Set<Fault> mFaults;
    private final Defect mDefect;
    private final boolean mTraced;
    private final List<String> mTrace = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private final CompletableFuture<List<String>> mResult = new CompletableFuture<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeMs).thenComparingLong(Event::order));
    private long mNextEventOrder;
    private long mNowMs = 100_000;
    private long mFaultsEndMs = Long.MAX_VALUE;
    private final SerialExecutor mExecutor = new SerialExecutor("simulation", virtualTimers());
    private final SimulatedGateway mGateway = new SimulatedGateway();
    private final EventRecorder mRecorder =
            new EventRecorder(new EventLog(new EntryId("vm"), new HybridClock(), 16));
    private final Clock mClock =
            new Clock() {
                @Override
                public long monotonicMs() {
                    return mNowMs;
                }

                @Override
                public long wallMs() {
                    return mNowMs + WALL_OFFSET_MS;
                }
            };
    private final Map<WorkerId, SimulatedWorker> mWorkers = new LinkedHashMap<>();

    /** The workers' entries in the directory. */
    private final Map<SimulatedWorker, WorkerStatus> mEntries = new HashMap<>();

    private final Map<JobId, JobRecord> mAcceptedJobs = new LinkedHashMap<>();
    private final Set<JobId> mCancelledJobs = new HashSet<>();
    private final Map<JobId, ProgressRecord> mSavedProgress = new HashMap<>();
    private final Map<TaskRef, List<Success>> mSuccesses = new HashMap<>();
    private final SilentWorkerStore mSilentWorkerStore;

    /** Off by default, as seeds of earlier faults lead to them only without it. */
    private boolean mRecordsSilentWorkers;

    private long mEpoch;
    private Owner mOwner;

    WorkerFaultSimulation(long seed, Set<Fault> faults, Defect defect, boolean traced) {
        mRandom = new Random(seed);
        mSilentWorkerStore = new SilentWorkerStore(seed);
        mFaults = faults.isEmpty() ? EnumSet.noneOf(Fault.class) : EnumSet.copyOf(faults);
        mDefect = defect;
        mTraced = traced;
        for (int i = 0; i < WORKERS; i++) {
            SimulatedWorker worker =
                    new SimulatedWorker(
                            new WorkerId("w" + i), mRandom, () -> mNowMs, this::onRunEnded);
            mWorkers.put(worker.id(), worker);
            boot(worker);
            mEntries.put(worker, entryOf(worker));
        }
    }

    /** Lets owners tell the next ones for how long the leases of silent workers last. */
    WorkerFaultSimulation withSilentWorkerRecord() {
        mRecordsSilentWorkers = true;
        return this;
    }

    /** Returns what happened, if the simulation is traced. */
    List<String> trace() {
        return mTrace;
    }

    /**
     * Runs jobs with faults for some time, then without faults until all have ended.
     *
     * @return the violations that were found
     */
    List<String> run() {
        scheduleFaultPeriod();
        schedule(0, this::tick);
        mExecutor.start();
        // All runs on the executor's thread, so that calls of its users are in a definite order.
        mExecutor.execute(this::step);
        List<String> violations = mResult.orTimeout(120, TimeUnit.SECONDS).join();
        mExecutor.stop();
        return violations;
    }

    /** Handles one event; callbacks that it queues run before the next one. */
    private void step() {
        try {
            Event event = mEvents.poll();
            mNowMs = event.timeMs();
            event.action().run();
            if (!mResult.isDone()) {
                mExecutor.execute(this::step);
            }
        } catch (RuntimeException e) {
            mResult.completeExceptionally(e);
        }
    }

    private void scheduleFaultPeriod() {
        mOwner = new Owner();
        long atMs = 1_000;
        for (int burst = 0; burst < BURSTS; burst++) {
            for (int i = 0; i < JOBS_PER_BURST; i++) {
                int number = burst * JOBS_PER_BURST + i;
                schedule(atMs + mRandom.nextInt((int) BURST_MS), () -> submitJob(number));
            }
            for (long t = 0; t < BURST_MS; t += DISTURBANCE_INTERVAL_MS) {
                schedule(atMs + t, this::disturb);
            }
            atMs += BURST_MS;
            if (mFaults.contains(Fault.IDLE_PHASES) && burst < BURSTS - 1) {
                atMs += 40_000 + mRandom.nextInt(50_000);
            }
        }
        mFaultsEndMs = mNowMs + atMs;
    }

    private void tick() {
        mWorkers.values().forEach(SimulatedWorker::advance);
        if (mOwner != null) {
            mOwner.pass();
        }
        boolean ended = haveAllJobsEnded();
        if (mNowMs > mFaultsEndMs + (ended ? CALM_MS : MAX_END_DELAY_MS)) {
            if (!ended) {
                mViolations.add("UNENDED: accepted jobs have not ended");
            }
            mResult.complete(mViolations);
        }
        schedule(TICK_MS, this::tick);
    }

    private boolean haveAllJobsEnded() {
        for (JobId id : mAcceptedJobs.keySet()) {
            ProgressRecord saved = mSavedProgress.get(id);
            if (saved == null || !saved.state().isEnded()) {
                return false;
            }
        }
        return true;
    }

    private void submitJob(int number) {
        JobId id = new JobId(String.format("%016x", number));
        StepPlan step =
                StepPlan.unconstrained(
                        1 + mRandom.nextInt(3),
                        new Resources(100, 100, 4),
                        100L + mRandom.nextInt(2_000));
        JobRecord record =
                new JobRecord(QUEUE, TEAM, new JobPlan("spec", List.of(step), 0, 0, 0), mNowMs);
        mAcceptedJobs.put(id, record);
        if (mOwner != null) {
            mOwner.mScheduler.onJob(id, record, null, 0, mNowMs);
        }
        if (mRandom.nextInt(10) == 0) {
            schedule(mRandom.nextInt(8_000), () -> cancel(id));
        }
    }

    private void cancel(JobId id) {
        mCancelledJobs.add(id);
        if (mOwner != null) {
            mOwner.mScheduler.onCancel(id, mNowMs);
        }
    }

    /** Most runs are short; some are long enough to last through a partition. */
    private long drawDurationMs() {
        return 50L + mRandom.nextInt(mRandom.nextInt(4) == 0 ? 15_000 : 3_000);
    }

    private boolean strikes(Fault fault, int oneIn) {
        return mNowMs < mFaultsEndMs && mFaults.contains(fault) && mRandom.nextInt(oneIn) == 0;
    }

    private void disturb() {
        SimulatedWorker worker = mWorkers.get(new WorkerId("w" + mRandom.nextInt(WORKERS)));
        if (strikes(Fault.PARTITIONS, 15)) {
            worker.partitionUntil(mNowMs + mRandom.nextInt(9_000));
            trace(worker.id(), "is partitioned");
        }
        if (strikes(Fault.UNHEALTHY, 15)) {
            worker.makeUnhealthyUntil(mNowMs + mRandom.nextInt(9_000));
            trace(worker.id(), "is unhealthy");
        }
        if (strikes(Fault.RESTARTS, 25) && worker.isUp()) {
            trace(worker.id(), "crashes");
            worker.crash();
            schedule(100 + mRandom.nextInt(3_000), () -> boot(worker));
        }
        if (strikes(Fault.OWNER_CHANGES, 40) && mOwner != null) {
            trace("owner", "is replaced");
            mOwner.stop();
            mOwner = null;
            schedule(mRandom.nextInt(2_000), () -> mOwner = new Owner());
        }
    }

    private void boot(SimulatedWorker worker) {
        double rate = mFaults.contains(Fault.SLOW_CLOCKS) ? drawSlowRate() : 1;
        worker.boot(mNowMs + WALL_OFFSET_MS, mDefect == Defect.VERY_SLOW_CLOCKS ? 0.6 : rate);
        trace(worker.id(), "boots");
        WorkerStatus entry = entryOf(worker);
        schedule(
                500 + mRandom.nextInt(1_000),
                () -> {
                    if (entry.incarnationStartMs() == worker.bornMs()) {
                        mEntries.put(worker, entry);
                        if (mOwner != null) {
                            mOwner.onEntry(entry);
                        }
                    }
                });
    }

    private double drawSlowRate() {
        return mRandom.nextBoolean() ? 0.98 : 0.98 + 0.02 * mRandom.nextDouble();
    }

    private static WorkerStatus entryOf(SimulatedWorker worker) {
        return new WorkerStatus(
                worker.id(),
                worker.bornMs(),
                ADDRESS,
                SERVICE,
                false,
                0,
                CAPACITY,
                Set.of("a", "r1"),
                new RackId("r1"));
    }

    /** Sends a call with the faults of the network; without a reply, the caller times out. */
    private <T> CompletableFuture<T> call(
            SimulatedWorker worker,
            long timeoutMs,
            T unknown,
            T unhealthy,
            String name,
            Consumer<Consumer<T>> execution) {
        CompletableFuture<T> future = new CompletableFuture<>();
        schedule(timeoutMs, () -> future.complete(unknown));
        boolean late = strikes(Fault.LATE_CALLS, 20);
        boolean lost = strikes(Fault.LOST_CALLS, 20) || worker.isPartitioned();
        boolean answerLost = strikes(Fault.LOST_ANSWERS, 20) || late;
        if (lost && !late) {
            trace(worker.id(), "does not get " + name);
            return future;
        }
        long sentAtMs = mNowMs;
        schedule(
                late ? 2_000 + mRandom.nextInt(10_000) : drawLatencyMs(),
                () -> {
                    if (!worker.isUp()) {
                        // The gateway reports a refused connection as an order without effect.
                        if (!late && mRandom.nextBoolean()) {
                            future.complete(unhealthy);
                        }
                        return;
                    }
                    mWorkers.values().forEach(SimulatedWorker::advance);
                    Consumer<T> reply =
                            answer -> {
                                trace(worker.id(), name + " sent at " + sentAtMs + ": " + answer);
                                if (!answerLost && !worker.isPartitioned()) {
                                    schedule(drawLatencyMs(), () -> future.complete(answer));
                                }
                            };
                    if (worker.isUnhealthy()) {
                        reply.accept(unhealthy);
                    } else {
                        execution.accept(reply);
                    }
                });
        return future;
    }

    private int drawLatencyMs() {
        return mRandom.nextInt(strikes(Fault.DELAYS, 10) ? 1_000 : 30);
    }

    private void checkStart(SimulatedWorker worker, RunRef run) {
        for (SimulatedWorker other : mWorkers.values()) {
            for (RunRef running : other.runsOf(run.task())) {
                if (other != worker || !running.equals(run)) {
                    addViolation(
                            "TWICE",
                            worker,
                            run,
                            "starts while " + running + " runs on " + other.id());
                }
            }
        }
        for (Success success : mSuccesses.getOrDefault(run.task(), List.of())) {
            // A late copy of the order may start the same run in the next life of its worker.
            boolean sameRun = success.mWorker == worker && success.mRun.equals(run);
            if (success.mAcknowledged && !sameRun) {
                addViolation(
                        "AGAIN",
                        worker,
                        run,
                        "starts after the acknowledged success of "
                                + success.mRun
                                + " on "
                                + success.mWorker.id());
            } else if (success.isBinding()) {
                success.mStartedAfter = run;
            }
        }
    }

    private void onRunEnded(SimulatedWorker worker, RunRef run, RunOutcome outcome) {
        trace(worker.id(), run + " ends " + outcome);
        if (outcome == RunOutcome.DONE) {
            mSuccesses
                    .computeIfAbsent(run.task(), task -> new ArrayList<>())
                    .add(new Success(worker, run, worker.lastEndNumber()));
        }
    }

    private void checkAcknowledgement(SimulatedWorker worker, long acknowledgedEnd) {
        for (List<Success> successes : mSuccesses.values()) {
            for (Success success : successes) {
                if (success.mAcknowledged
                        || success.mWorker != worker
                        || success.mBornMs != worker.bornMs()
                        || success.mEndNumber > acknowledgedEnd) {
                    continue;
                }
                if (success.mStartedAfter != null) {
                    addViolation(
                            "AGAIN",
                            worker,
                            success.mRun,
                            "succeeded, and then started as " + success.mStartedAfter);
                    success.mStartedAfter = null;
                }
                success.mAcknowledged = success.isBinding();
            }
        }
    }

    private void addViolation(String rule, SimulatedWorker worker, RunRef run, String reason) {
        String violation = mNowMs + " " + rule + ": " + run + " on " + worker.id() + " " + reason;
        trace("check", violation);
        mViolations.add(violation);
    }

    private void trace(Object subject, Object event) {
        if (mTraced) {
            mTrace.add(mNowMs + " " + subject + " " + event);
        }
    }

    private void schedule(long delayMs, Runnable action) {
        mEvents.add(new Event(mNowMs + delayMs, mNextEventOrder++, action));
    }

    /** Returns a timer service whose only supported method runs an action at a virtual time. */
    private ScheduledExecutorService virtualTimers() {
        return (ScheduledExecutorService)
                Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {ScheduledExecutorService.class},
                        (proxy, method, arguments) -> {
                            if (!method.getName().equals("schedule")) {
                                throw new UnsupportedOperationException(method.getName());
                            }
                            TimeUnit unit = (TimeUnit) arguments[2];
                            schedule(unit.toMillis((long) arguments[1]), (Runnable) arguments[0]);
                            return null;
                        });
    }
}
