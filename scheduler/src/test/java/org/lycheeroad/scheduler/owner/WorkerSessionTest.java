package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.jobs.JobAction;
import org.lycheeroad.coordination.jobs.JobScheduler;
import org.lycheeroad.coordination.jobs.OrderAnswer;
import org.lycheeroad.coordination.jobs.SchedulerSettings;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.port.WorkerGateway;
import org.lycheeroad.state.event.EventCode;
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
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.TeamConfig;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;
import org.lycheeroad.state.work.WorkerStatus;
import org.lycheeroad.transport.events.EventLog;

class WorkerSessionTest {
    private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);
    private static final WorkerId WORKER = new WorkerId("w1");
    private static final long BORN_MS = 1_000;
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final long RESTARTED_BORN_MS = 5_000;
    private static final WorkerStatus ENTRY = entry(BORN_MS);

    /** The longest time for which a call without an answer may be on its way. */
    private static final long MAX_CALL_DELAY_MS = 15_000;

    private static final RunRef RUN = new RunRef(new TaskRef(new JobId("j1"), 0, 0, 0), 1);
    private static final List<EndedRun> ONE_ENDED_RUN =
            List.of(new EndedRun(1, RUN, RunOutcome.DONE, ""));

    /** The worker's clock in all of its replies. */
    private static final long WORKER_CLOCK_MS = 1;

    /** How far the clock advances between two checks for a poll. */
    private static final long STEP_MS = 50;

    private static final long MAX_LEASE_MS = 6_000;

    private static final long PAUSE_MS = 5_000;

    /** The latest end of a lease on a slow clock, with the margin. */
    private static final long LEASE_EXPIRY_MS = 6_600;

    private static final int MAX_STEPS = 500;

    /** Several times the time between two polls of the session. */
    private static final int NO_POLL_STEPS = 80;

    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final ScriptedGateway mGateway = new ScriptedGateway();
    private final ManualClock mClock = new ManualClock();
    private final EventLog mEvents = new EventLog(new EntryId("vm"), new HybridClock(), 16);
    private final JobScheduler mScheduler =
            new JobScheduler(new SchedulerSettings(3, 2_700, 6_520, 120_000, false));
    private final long mTermEndsAtMs = mClock.monotonicMs() + 100_000;
    private final Term mTerm = new Term(1, 10, 1, mClock);
    private WorkerSession mSession;

    @BeforeEach
    void setUp() {
        mTerm.extendLease(mTermEndsAtMs, Term.wallClockOffsetMs(mClock));
        mScheduler.onWorkerEntry(ENTRY, mClock.monotonicMs());
        mSession = newSession();
        mExecutor.start();
        mExecutor.execute(mSession::pollIfDue);
    }

    private WorkerSession newSession() {
        return new WorkerSession(
                ENTRY,
                mGateway,
                mExecutor,
                mScheduler,
                mTerm,
                settings(),
                mClock,
                new EventRecorder(mEvents),
                new NodeMetrics(),
                new SilentWorkerRecorder(new ScriptedStore(), mExecutor, mTerm, mClock, () -> {}),
                () -> {});
    }

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    /**
     * A restarted worker numbers its ended runs anew, so an old acknowledgement would make it
     * forget runs that it has not listed yet.
     */
    @Test
    void endedRunsAreNotAcknowledgedAfterAnUnansweredPoll() throws Exception {
        assertThat(mGateway.answerNextPoll(ONE_ENDED_RUN).acknowledgedEnd()).isZero();
        Poll acknowledging = mGateway.failNextPoll();
        assertThat(acknowledging.acknowledgedEnd()).isEqualTo(1);
        assertThat(mGateway.answerNextPoll(ONE_ENDED_RUN).acknowledgedEnd()).isZero();
    }

    /**
     * Ended runs that the worker still lists after an unanswered poll must be acknowledged again,
     * so that it can forget them.
     */
    @Test
    void endedRunsAreAcknowledgedOnceTheWorkerAnswersAgain() throws Exception {
        mGateway.answerNextPoll(ONE_ENDED_RUN);
        mGateway.failNextPoll();
        mGateway.answerNextPoll(ONE_ENDED_RUN);
        assertThat(mGateway.answerNextPoll(List.of()).acknowledgedEnd()).isEqualTo(1);
        assertThat(mGateway.receivesNoPoll()).isTrue();
    }

    /**
     * Guards against a start whose lease outlasts the time that the next owner waits for, as the
     * process paused after it had checked its term (a pause of the garbage collector, for example).
     */
    @Test
    void leaseOfAStartCountsFromBeforeTheTermIsChecked() throws Exception {
        mGateway.answerNextPoll(List.of());
        awaitSession();
        long readAtMs = mClock.monotonicMs();
        run(
                () -> {
                    issueStart();
                    mClock.advance(mTermEndsAtMs - mClock.monotonicMs() - 1);
                    mClock.advanceAfterNextWallRead(PAUSE_MS);
                    sendStarts();
                });
        assertThat(mClock.monotonicMs()).isGreaterThan(mTermEndsAtMs);
        assertThat(mGateway.mStartLeases.remove())
                .isLessThanOrEqualTo(WORKER_CLOCK_MS + mTermEndsAtMs - readAtMs + MAX_LEASE_MS);
    }

    /**
     * Guards against runs that hold up their gangs for a lease, although another process answers at
     * the worker's address (LOST).
     */
    @Test
    void runsAreOverOnceAnotherWorkerAnswersAtTheAddress() throws Exception {
        mGateway.answerNextPoll(List.of());
        run(
                () -> {
                    issueStart();
                    sendStarts();
                    mSession.pollIfDue();
                });
        assertThat(mScheduler.mayHaveRuns(WORKER)).isTrue();
        mGateway.replyToNextPoll(new WorkerGateway.PollReply(OrderAnswer.REPLACED, null));
        awaitSession();
        assertThat(mScheduler.mayHaveRuns(WORKER)).isFalse();
    }

    /** The worker's clock is slow, and was read for the last time a minute ago. */
    @Nested
    class LeaseOutlivesTheOwnersBound {
        /** The slowest clock that the platform allows. */
        private static final double SLOW_CLOCK_RATE = 0.98;

        private static final long IDLE_MS = 60_000;

        private long mClockReadAtMs;

        @BeforeEach
        void startARunAfterAnIdleTime() throws Exception {
            mGateway.answerNextPoll(List.of());
            run(
                    () -> {
                        mClockReadAtMs = mClock.monotonicMs();
                        mClock.advance(IDLE_MS);
                        issueStart();
                        sendStarts();
                        mSession.pollIfDue();
                    });
        }

        /** Guards against a start whose lease ends after the time at which its run is given up. */
        @Test
        void ofAStart() throws Exception {
            long leaseUntilMs = mGateway.mStartLeases.remove();
            mGateway.failNextPoll();
            assertExpiresInTime(leaseUntilMs);
        }

        /** Guards against a poll that extends the lease beyond the time of the next start. */
        @Test
        void ofAPoll() throws Exception {
            assertExpiresInTime(mGateway.failNextPoll().leaseUntilMs());
        }

        /** Guards against starts with short leases while the poll that reads the clock waits. */
        @Test
        void firstPollDoesNotWait() throws Exception {
            assertThat(mGateway.answerNextPoll(List.of()).waitMs()).isZero();
            assertThat(mGateway.answerNextPoll(List.of()).waitMs()).isPositive();
        }

        /** A worker may take a lease up to its end, however late the order arrives. */
        private void assertExpiresInTime(long leaseUntilMs) throws Exception {
            assertThat(leaseUntilMs).as("lease").isGreaterThan(WORKER_CLOCK_MS + IDLE_MS);
            assertThat(leaseUntilMs).isLessThanOrEqualTo(slowWorkerClockMs(awaitLeaseExpiry()));
        }

        private long slowWorkerClockMs(long atMs) {
            return WORKER_CLOCK_MS + (long) ((atMs - mClockReadAtMs) * SLOW_CLOCK_RATE);
        }

        /** Returns the time at which the session takes the worker's leases as expired. */
        private long awaitLeaseExpiry() throws Exception {
            for (int i = 0; i < MAX_STEPS && !isLeaseExpired(); i++) {
                mClock.advance(STEP_MS);
                run(mSession::checkLeaseExpiry);
            }
            assertThat(isLeaseExpired()).isTrue();
            return mClock.monotonicMs();
        }

        private boolean isLeaseExpired() {
            return !mEvents.page(0, event -> event.number() == EventCode.WORKER_LAPSED.number())
                    .events()
                    .isEmpty();
        }
    }

    /** Orders are not sent while the lease of the term is not valid. */
    @Nested
    class StartThatWaitedForTheTermsLease {
        /** Longer than the worker takes a start after it was sent. */
        private static final long LEASE_INVALID_MS = 8_000;

        /** Guards against a second run of a task whose start is taken as expired in flight. */
        @Test
        void isNotOverWhileTheOrderIsInFlight() throws Exception {
            mGateway.answerNextPoll(List.of());
            run(
                    () -> {
                        issueStart();
                        mClock.advance(LEASE_INVALID_MS);
                        sendStarts();
                        mSession.pollIfDue();
                    });
            mGateway.answerNextPoll(List.of());
            awaitSession();
            assertThat(mGateway.mStartLeases).hasSize(1);
            assertThat(mScheduler.takeDroppedRuns()).isEmpty();
        }
    }

    /**
     * Guards against a run that is kept for a whole lease from the time at which the entry of its
     * unreachable worker was seen first, although leases of earlier owners have expired before.
     */
    @Test
    void restoredRunIsOverWhenTheEarlierOwnersLeasesHaveExpired() throws Exception {
        TaskProgress restored = new TaskProgress(0, 0, 0, 1, 0, 0, false, WORKER, BORN_MS, "");
        run(
                () -> {
                    mSession.stop();
                    submitJob(new ProgressRecord(WorkState.ACTIVE, List.of(restored)));
                    mClock.advance(PAUSE_MS);
                    mSession = newSession();
                    mSession.pollIfDue();
                });
        mGateway.failNextPoll();
        mGateway.failNextPoll();
        mClock.advance(LEASE_EXPIRY_MS - PAUSE_MS);
        run(mSession::checkLeaseExpiry);
        assertThat(onExecutor(() -> mScheduler.mayHaveRuns(WORKER))).isFalse();
    }

    /** Guards against a late acknowledgement that makes a restarted worker forget new ends. */
    @Test
    void restartedWorkerGetsNoRunsWhileAnAcknowledgementCanArrive() throws Exception {
        mGateway.answerNextPoll(ONE_ENDED_RUN);
        assertThat(mGateway.failNextPoll().acknowledgedEnd()).isEqualTo(1);
        mGateway.answerNextPollRestarted();
        onExecutor(this::submitJob);
        assertThat(onExecutor(this::orders)).isEmpty();
        mClock.advance(MAX_CALL_DELAY_MS);
        assertThat(onExecutor(this::orders)).hasSize(1);
    }

    /**
     * Guards against the earlier incarnation's confirmation of a stop as proof that the new one
     * refuses the start.
     */
    @Test
    void earlierIncarnationDoesNotConfirmAStopForTheNewOne() throws Exception {
        mGateway.answerNextPoll(List.of());
        onExecutor(this::submitJob);
        JobAction.Start start = (JobAction.Start) onExecutor(this::orders).get(0);
        run(() -> mSession.start(start));
        mGateway.nextOrder().complete(OrderAnswer.UNKNOWN);
        run(() -> mScheduler.onCancel(RUN.task().job(), mClock.monotonicMs()));
        JobAction.Stop stop = lastStop(onExecutor(this::orders));
        run(() -> mSession.stop(stop));
        CompletableFuture<OrderAnswer> earlierAnswer = mGateway.nextOrder();
        run(mSession::pollIfDue);
        mGateway.answerNextPollRestarted();
        earlierAnswer.complete(OrderAnswer.ACCEPTED);
        mGateway.answerNextPollRestarted();
        assertThat(onExecutor(() -> mScheduler.mayHaveRuns(WORKER))).isTrue();
        run(() -> mSession.stop(stop));
        mGateway.nextOrder().complete(OrderAnswer.ACCEPTED);
        mGateway.answerNextPollRestarted();
        assertThat(onExecutor(() -> mScheduler.mayHaveRuns(WORKER))).isFalse();
    }

    /** Entries of a worker that has restarted; they and its replies come in any order. */
    @Nested
    class EntryOfARestartedWorker {
        /** Guards against starts that are not sent, and delay their tasks, for want of a clock. */
        @Test
        void keepsTheClockThatAnEarlierReplyHasShown() throws Exception {
            restart();
            assertStartIsSent();
        }

        /** Guards against starts that are not sent as they are for a newer incarnation. */
        @Test
        void isNotReplacedByAnOlderEntry() throws Exception {
            restart();
            applyEntry(BORN_MS);
            assertStartIsSent();
        }

        /** Guards against a worker that gets no starts after its time of day was set back. */
        @Test
        void isAcceptedWithAnEarlierTimeOfDayThatAReplyHasShown() throws Exception {
            restartAt(BORN_MS - 1);
            assertStartIsSent();
        }

        private void restart() throws Exception {
            restartAt(RESTARTED_BORN_MS);
        }

        private void restartAt(long bornMs) throws Exception {
            mGateway.answerNextPoll(List.of());
            run(
                    () -> {
                        mScheduler.onWorkerUnresponsive(WORKER);
                        mSession.pollIfDue();
                    });
            mGateway.answerNextPollRestarted(bornMs);
            applyEntry(bornMs);
        }

        private void applyEntry(long bornMs) throws Exception {
            run(
                    () -> {
                        mScheduler.onWorkerEntry(entry(bornMs), mClock.monotonicMs());
                        mSession.update(entry(bornMs));
                    });
        }

        private void assertStartIsSent() throws Exception {
            run(
                    () -> {
                        issueStart();
                        sendStarts();
                    });
            assertThat(mGateway.mStartLeases).hasSize(1);
        }
    }

    private static WorkerStatus entry(long bornMs) {
        return new WorkerStatus(
                WORKER,
                bornMs,
                ADDRESS,
                SERVICE,
                false,
                0,
                new Resources(1_000, 1_000, 1),
                Set.of(),
                new RackId("r1"));
    }

    private boolean submitJob() {
        return submitJob(null);
    }

    private boolean submitJob(ProgressRecord progress) {
        QueueName queue = new QueueName("queue");
        TeamId team = new TeamId("team");
        mScheduler.onConfig(
                new ClusterConfig(
                        1,
                        List.of(
                                new QueueConfig(
                                        queue, "host", "/queue", SERVICE, 0, 3, 3, 1_500, false,
                                        null)),
                        List.of(new TeamConfig(team, List.of("key"), 1))));
        StepPlan step = StepPlan.unconstrained(1, new Resources(100, 100, 1), 1_000);
        JobPlan plan = new JobPlan("spec", List.of(step), 0, 0, 0);
        mScheduler.onJob(
                RUN.task().job(),
                new JobRecord(queue, team, plan, 0),
                progress,
                0,
                mClock.monotonicMs());
        return true;
    }

    /** Submits a job and lets the scheduler issue the start of its run. */
    private void issueStart() {
        submitJob();
        decideAndSave();
    }

    private void sendStarts() {
        mScheduler.takeActions().forEach(order -> mSession.start((JobAction.Start) order));
    }

    /** Makes decisions, saves all progress and returns the orders. */
    private List<JobAction> orders() {
        decideAndSave();
        return mScheduler.takeActions();
    }

    private void decideAndSave() {
        mScheduler.runDecisionRound(mClock.monotonicMs(), mClock.wallMs());
        mScheduler
                .takeUnsavedProgress()
                .forEach(p -> mScheduler.onSaved(p.job(), p.version(), mClock.monotonicMs()));
    }

    private static JobAction.Stop lastStop(List<JobAction> orders) {
        return (JobAction.Stop) orders.get(orders.size() - 1);
    }

    /** Waits until the session listens for the answer, so that answers are applied in order. */
    private void awaitSession() throws Exception {
        run(() -> {});
    }

    private void run(Runnable action) throws Exception {
        onExecutor(
                () -> {
                    action.run();
                    return true;
                });
    }

    /** Runs an action on the session's executor and returns its result. */
    private <T> T onExecutor(Supplier<T> action) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        mExecutor.execute(() -> result.complete(action.get()));
        return result.get(10, TimeUnit.SECONDS);
    }

    private static NodeSettings settings() {
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
                0,
                false,
                0);
    }

    /** A poll that waits for its reply. */
    private record Poll(
            long acknowledgedEnd,
            long leaseUntilMs,
            long waitMs,
            CompletableFuture<WorkerGateway.PollReply> reply) {}

    /** A worker whose replies are given by the test. */
    private final class ScriptedGateway implements WorkerGateway {
        private final LinkedBlockingQueue<Poll> mPolls = new LinkedBlockingQueue<>();
        private final LinkedBlockingQueue<CompletableFuture<OrderAnswer>> mOrders =
                new LinkedBlockingQueue<>();

        /** The ends of the leases that came with starts. */
        private final LinkedBlockingQueue<Long> mStartLeases = new LinkedBlockingQueue<>();

        /** Waits for a poll and replies with a list of ended runs. */
        Poll answerNextPoll(List<EndedRun> endedRuns) throws Exception {
            return replyToNextPoll(
                    new PollReply(
                            OrderAnswer.ACCEPTED,
                            new WorkerRuns(WORKER_CLOCK_MS, BORN_MS, List.of(), endedRuns, true)));
        }

        /** Waits for a poll and replies as a new incarnation, which has no runs. */
        Poll answerNextPollRestarted() throws Exception {
            return answerNextPollRestarted(RESTARTED_BORN_MS);
        }

        Poll answerNextPollRestarted(long bornMs) throws Exception {
            return replyToNextPoll(
                    new PollReply(
                            OrderAnswer.ACCEPTED,
                            new WorkerRuns(1, bornMs, List.of(), List.of(), true)));
        }

        /** Waits for a start or stop order and returns its answer, which the test completes. */
        CompletableFuture<OrderAnswer> nextOrder() throws Exception {
            CompletableFuture<OrderAnswer> answer = mOrders.poll(10, TimeUnit.SECONDS);
            assertThat(answer).as("order sent by the session").isNotNull();
            awaitSession();
            return answer;
        }

        private CompletableFuture<OrderAnswer> addOrder() {
            CompletableFuture<OrderAnswer> answer = new CompletableFuture<>();
            mOrders.add(answer);
            return answer;
        }

        /** Waits for a poll and reports that no reply came. */
        Poll failNextPoll() throws Exception {
            return replyToNextPoll(new PollReply(OrderAnswer.UNKNOWN, null));
        }

        boolean receivesNoPoll() throws InterruptedException {
            return poll(NO_POLL_STEPS) == null;
        }

        /** Advances the clock until a poll comes; the session's timers run in real time. */
        private Poll poll(int steps) throws InterruptedException {
            Poll poll = null;
            for (int i = 0; i < steps && poll == null; i++) {
                poll = mPolls.poll(STEP_MS / 5, TimeUnit.MILLISECONDS);
                if (poll == null) {
                    mClock.advance(STEP_MS);
                }
            }
            return poll;
        }

        private Poll replyToNextPoll(PollReply reply) throws Exception {
            Poll poll = poll(MAX_STEPS);
            assertThat(poll).as("poll sent by the session").isNotNull();
            // The session awaits the reply only once it has returned from the call of the gateway.
            awaitSession();
            poll.reply().complete(reply);
            return poll;
        }

        @Override
        public CompletableFuture<PollReply> poll(
                WorkerEndpoint endpoint, long acknowledgedEnd, long leaseUntilMs, long waitMs) {
            Poll poll = new Poll(acknowledgedEnd, leaseUntilMs, waitMs, new CompletableFuture<>());
            mPolls.add(poll);
            return poll.reply();
        }

        @Override
        public CompletableFuture<OrderAnswer> start(
                WorkerEndpoint endpoint,
                RunRef run,
                String spec,
                String checkpoint,
                String ticket,
                long leaseUntilMs) {
            mStartLeases.add(leaseUntilMs);
            return addOrder();
        }

        @Override
        public CompletableFuture<OrderAnswer> stop(WorkerEndpoint endpoint, RunRef run) {
            return addOrder();
        }

        @Override
        public CompletableFuture<OrderAnswer> throttle(
                WorkerEndpoint endpoint, RunRef run, int percent) {
            throw new UnsupportedOperationException("throttle is not used in this test");
        }
    }
}
