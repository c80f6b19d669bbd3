package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.jobs.JobScheduler;
import org.lycheeroad.coordination.jobs.OrderAnswer;
import org.lycheeroad.coordination.jobs.SchedulerSettings;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.port.WorkerGateway;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;
import org.lycheeroad.state.work.WorkerStatus;
import org.lycheeroad.transport.events.EventLog;

class WorkerSessionTest {
    private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);
    private static final long BORN_MS = 1_000;
    private static final RunRef RUN = new RunRef(new TaskRef(new JobId("j1"), 0, 0, 0), 1);
    private static final List<EndedRun> ONE_ENDED_RUN =
            List.of(new EndedRun(1, RUN, RunOutcome.DONE, ""));

    /** How far the clock advances between two checks for a poll. */
    private static final long STEP_MS = 50;

    private static final int MAX_STEPS = 500;

    /** Several times the time between two polls of the session. */
    private static final int NO_POLL_STEPS = 80;

    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final ScriptedGateway mGateway = new ScriptedGateway();
    private final ManualClock mClock = new ManualClock();
    private WorkerSession mSession;

    @BeforeEach
    void setUp() {
        JobScheduler scheduler =
                new JobScheduler(new SchedulerSettings(3, 2_700, 6_520, 120_000, false));
        Term term = new Term(1, 10, 1, mClock);
        term.extendLease(mClock.monotonicMs() + 100_000);
        WorkerStatus entry =
                new WorkerStatus(
                        new WorkerId("w1"),
                        BORN_MS,
                        ADDRESS,
                        new ServiceName("service"),
                        false,
                        0,
                        new Resources(1_000, 1_000, 1),
                        Set.of(),
                        new RackId("r1"));
        scheduler.onWorkerEntry(entry, mClock.monotonicMs());
        mSession =
                new WorkerSession(
                        entry,
                        mGateway,
                        mExecutor,
                        scheduler,
                        term,
                        settings(),
                        mClock,
                        new EventRecorder(new EventLog(new EntryId("vm"), new HybridClock(), 16)),
                        new NodeMetrics(),
                        () -> {});
        mExecutor.start();
        mExecutor.execute(mSession::pollIfDue);
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
    private record Poll(long acknowledgedEnd, CompletableFuture<WorkerGateway.PollReply> reply) {}

    /** A worker whose replies are given by the test. */
    private final class ScriptedGateway implements WorkerGateway {
        private final LinkedBlockingQueue<Poll> mPolls = new LinkedBlockingQueue<>();

        /** Waits for a poll and replies with a list of ended runs. */
        Poll answerNextPoll(List<EndedRun> endedRuns) throws InterruptedException {
            return replyToNextPoll(
                    new PollReply(
                            OrderAnswer.ACCEPTED,
                            new WorkerRuns(1, BORN_MS, List.of(), endedRuns, true)));
        }

        /** Waits for a poll and reports that no reply came. */
        Poll failNextPoll() throws InterruptedException {
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

        private Poll replyToNextPoll(PollReply reply) throws InterruptedException {
            Poll poll = poll(MAX_STEPS);
            assertThat(poll).as("poll sent by the session").isNotNull();
            poll.reply().complete(reply);
            return poll;
        }

        @Override
        public CompletableFuture<PollReply> poll(
                WorkerEndpoint endpoint, long acknowledgedEnd, long leaseUntilMs, long waitMs) {
            Poll poll = new Poll(acknowledgedEnd, new CompletableFuture<>());
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
            throw new UnsupportedOperationException("start is not used in this test");
        }

        @Override
        public CompletableFuture<OrderAnswer> stop(WorkerEndpoint endpoint, RunRef run) {
            throw new UnsupportedOperationException("stop is not used in this test");
        }

        @Override
        public CompletableFuture<OrderAnswer> throttle(
                WorkerEndpoint endpoint, RunRef run, int percent) {
            throw new UnsupportedOperationException("throttle is not used in this test");
        }
    }
}
