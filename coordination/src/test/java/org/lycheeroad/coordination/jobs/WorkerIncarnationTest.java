package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.INCARNATION;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns;

/** Workers that crash and restart under the same id while orders are in transit. */
class WorkerIncarnationTest {
    private static final long RESTARTED_INCARNATION = INCARNATION + 5_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    WorkerIncarnationTest() {
        mFixture.addWorker("w1", "r1");
        mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
    }

    /**
     * Guards against a second, concurrent run when the new incarnation accepted the start before
     * its directory entry arrived.
     */
    @Test
    void runOnAnUnknownIncarnationIsAdopted() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        mFixture.addWorker("w2", "r1");
        mFixture.restartWorker("w1", "r1", RESTARTED_INCARNATION);
        assertThat(starts(mFixture.runRound())).isEmpty();
        mFixture.report("w1", RESTARTED_INCARNATION, List.of(running(start, 10)), List.of());
        assertThat(mFixture.runRound()).isEmpty();
    }

    /** As above, but the run has ended before the new incarnation's first report. */
    @Test
    void endOnAnUnknownIncarnationCounts() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        mFixture.report(
                "w1",
                RESTARTED_INCARNATION,
                List.of(),
                List.of(ended(1, start.run(), RunOutcome.DONE)));
        mFixture.saveAll();
        assertThat(mScheduler.stateOf(new JobId("j1"))).contains(WorkState.COMPLETED);
    }

    /** Guards against waiting for a run that was lost in the crash. */
    @Test
    void runOfTheOldIncarnationIsRestarted() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        mFixture.restartWorker("w1", "r1", RESTARTED_INCARNATION);
        mFixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        assertThat(starts(mFixture.runRound())).hasSize(1);
    }

    /** Guards against a run that is kept for good, as the worker's clock was set back. */
    @Test
    void runIsRestartedIfTheNewIncarnationHasAnEarlierTime() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        mFixture.nowMs += 10;
        mFixture.report("w1", INCARNATION - 1, List.of(), List.of());
        assertThat(starts(mFixture.runRound()))
                .extracting(JobAction.Start::workerIncarnation)
                .containsExactly(INCARNATION - 1);
    }

    /**
     * Guards against a late start on the new incarnation: it may receive the unanswered order, and
     * it does not know of stops that were sent to the old one.
     */
    @Test
    void unansweredStartIsStoppedOnTheNewIncarnation() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.UNKNOWN, mFixture.nowMs);
        mScheduler.takeActions();
        mFixture.addWorker("w2", "r1");
        mFixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        List<JobAction> actions = mFixture.runRound();
        assertThat(stops(actions)).hasSize(1);
        assertThat(starts(actions)).isEmpty();
        mScheduler.onStopAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        mFixture.nowMs += 10;
        mFixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        assertThat(starts(mFixture.runRound())).hasSize(1);
    }

    /**
     * Guards against a second run when the saved record names the old incarnation of the worker.
     */
    @Test
    void newOwnerWaitsForTheReportIfARecordNamesTheOldIncarnation() {
        JobSchedulerFixture next = new JobSchedulerFixture();
        next.restartWorker("w1", "r1", RESTARTED_INCARNATION);
        next.addWorker("w2", "r1");
        TaskProgress savedTask =
                new TaskProgress(0, 0, 0, 5, 0, 0, false, new WorkerId("w1"), INCARNATION, "");
        next.submit(
                "j1",
                BULK,
                new ProgressRecord(WorkState.ACTIVE, List.of(savedTask)),
                step(1, 1, 1_000).build());
        assertThat(starts(next.runRound())).isEmpty();
        next.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        assertThat(starts(next.runRound())).hasSize(1);
    }

    /**
     * Guards against a second run beside one that the new incarnation confirmed while its first
     * report was on its way.
     */
    @Test
    void startConfirmedAfterTheReportWasRequestedIsKept() {
        JobAction.Start start = start();
        long requestedAtMs = mFixture.nowMs;
        mFixture.nowMs += 10;
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        mFixture.addWorker("w2", "r1");
        mScheduler.onRunReport(
                start.worker(),
                new WorkerRuns(mFixture.nowMs, RESTARTED_INCARNATION, List.of(), List.of(), true),
                requestedAtMs,
                mFixture.nowMs);
        assertThat(starts(mFixture.runRound())).isEmpty();
        mFixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        assertThat(starts(mFixture.runRound())).hasSize(1);
    }

    /** Starts of which one copy was not answered and may reach the new incarnation. */
    @Nested
    class UnansweredCopies {
        private static final long CALL_DELAY_MS = 12_000;

        /** Guards against dropping a running run whose first start can start it again. */
        @Test
        void runningRunIsStoppedOnTheNewIncarnation() {
            JobAction.Start start = startWithUnansweredCopy();
            report();
            List<JobAction> actions = mFixture.runRound();
            assertThat(stops(actions)).extracting(JobAction.Stop::run).containsExactly(start.run());
            assertThat(starts(actions)).isEmpty();
            mFixture.nowMs += 10;
            report();
            assertThat(starts(mFixture.runRound())).isEmpty();
            answerStop(start);
            report();
            assertStartedElsewhere();
        }

        /** Guards against dropping a stopped run because the earlier incarnation had started it. */
        @Test
        void stoppingRunIsStoppedOnTheNewIncarnation() {
            JobAction.Start start = startWithUnansweredCopy();
            mFixture.nowMs += 4_000;
            mFixture.report("w1", List.of(running(start, 0)), List.of());
            assertThat(stops(mFixture.runRound())).hasSize(1);
            answerStop(start);
            report();
            List<JobAction> actions = mFixture.runRound();
            assertThat(stops(actions)).extracting(JobAction.Stop::run).containsExactly(start.run());
            assertThat(starts(actions)).isEmpty();
            mFixture.nowMs += 10;
            answerStop(start);
            report();
            assertStartedElsewhere();
        }

        /**
         * Guards against the expiry time of a start, which is a time on the clock of the earlier
         * incarnation, as proof that the new one cannot start the run.
         */
        @Test
        void expiredOrderMayStartOnTheNewIncarnation() {
            JobAction.Start start = startWithUnansweredCopy();
            report();
            mFixture.runRound();
            mFixture.nowMs += CALL_DELAY_MS;
            report();
            assertThat(starts(mFixture.runRound())).isEmpty();
            answerStop(start);
            report();
            assertStartedElsewhere();
        }

        /** Guards against holding a task for as long as its worker refuses all stops. */
        @Test
        void refusedStopHoldsTheTaskOnlyWhileTheStartCanArrive() {
            JobAction.Start start = startWithUnansweredCopy();
            report();
            mFixture.runRound();
            mFixture.nowMs += RunTracker.MAX_CALL_DELAY_MS + 1;
            mScheduler.onStopAnswer(
                    start.worker(), start.run(), OrderAnswer.UNHEALTHY, mFixture.nowMs);
            report();
            assertStartedElsewhere();
        }

        /** Guards against running members of a gang whose other member is not sure to run. */
        @Test
        void gangIsStoppedWithItsMember() {
            JobSchedulerFixture fixture = new JobSchedulerFixture();
            fixture.addWorker("w1", "r1");
            fixture.addWorker("w2", "r1");
            fixture.submit("j1", BULK, step(2, 8, 1_000).gang().build());
            List<JobAction> orders = fixture.runRound();
            JobScheduler scheduler = fixture.scheduler;
            scheduler.onStartAnswer(
                    new WorkerId("w1"),
                    runOn("w1", starts(orders)),
                    OrderAnswer.UNKNOWN,
                    fixture.nowMs);
            fixture.acceptStarts(orders);
            fixture.runRound();
            fixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
            assertThat(workersOfStops(fixture.runRound())).containsExactlyInAnyOrder("w1", "w2");
        }

        /** Starts the run of j1 with a second copy of the order, the first being unanswered. */
        private JobAction.Start startWithUnansweredCopy() {
            JobAction.Start start = start();
            answer(start, OrderAnswer.UNKNOWN);
            assertThat(starts(mScheduler.takeActions())).containsExactly(start);
            answer(start, OrderAnswer.ACCEPTED);
            mFixture.addWorker("w2", "r1");
            return start;
        }

        private void answer(JobAction.Start start, OrderAnswer answer) {
            mScheduler.onStartAnswer(start.worker(), start.run(), answer, mFixture.nowMs);
        }

        private void answerStop(JobAction.Start start) {
            mScheduler.onStopAnswer(
                    start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        }

        private void report() {
            mFixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        }

        private void assertStartedElsewhere() {
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().attempt())
                    .containsExactly(2);
        }

        private static RunRef runOn(String worker, List<JobAction.Start> starts) {
            return starts.stream()
                    .filter(start -> start.worker().value().equals(worker))
                    .findFirst()
                    .orElseThrow()
                    .run();
        }

        private static List<String> workersOfStops(List<JobAction> actions) {
            return stops(actions).stream().map(stop -> stop.worker().value()).toList();
        }
    }

    /** Calls to an earlier incarnation that were not answered and may reach the new one. */
    @Nested
    class CallsInTransit {
        private static final WorkerId W1 = new WorkerId("w1");

        private final long mLeaseMs = JobSchedulerFixture.SETTINGS.orderExpiryMs();

        /**
         * Guards against runs whose leases a late start extends beyond the time that the owner
         * expects.
         */
        @Test
        void restartedWorkerGetsNoRunsWhileAStartCanArrive() {
            JobAction.Start start = start();
            answer(start, OrderAnswer.UNKNOWN);
            restart();
            mFixture.runRound();
            mScheduler.onStopAnswer(W1, start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
            assertUsedOnlyAfterTheCallDelay();
        }

        /** Guards against a late poll that makes the worker forget ends which it has not listed. */
        @Test
        void restartedWorkerGetsNoRunsWhileAPollCanArrive() {
            answer(start(), OrderAnswer.ACCEPTED);
            mScheduler.onUnansweredCall(W1, mFixture.nowMs);
            restart();
            assertUsedOnlyAfterTheCallDelay();
        }

        /**
         * Guards against forgetting such calls when the worker's entry expires before it restarts.
         */
        @Test
        void workerIsKnownWhileCallsCanArrive() {
            mScheduler.onUnansweredCall(W1, mFixture.nowMs);
            mScheduler.onWorkerUnregistered(W1);
            mFixture.nowMs += RunTracker.MAX_CALL_DELAY_MS;
            assertThat(mScheduler.isRemovable(W1, mFixture.nowMs)).isFalse();
            mFixture.nowMs += 1;
            assertThat(mScheduler.isRemovable(W1, mFixture.nowMs)).isTrue();
        }

        /** Guards against waiting for calls to the same incarnation. */
        @Test
        void workerThatHasNotRestartedIsUsedAfterAnUnansweredCall() {
            mScheduler.onUnansweredCall(W1, mFixture.nowMs);
            mScheduler.onWorkerUnresponsive(W1);
            mFixture.report("w1", List.of(), List.of());
            assertThat(starts(mFixture.runRound())).hasSize(1);
        }

        /**
         * Guards against a second run when a silent worker has restarted and takes a late start.
         */
        @Test
        void unansweredStartOutlastsTheLeasesOfARestartedWorker() {
            answer(start(), OrderAnswer.UNKNOWN);
            mFixture.addWorker("w2", "r1");
            mFixture.restartWorker("w1", "r1", RESTARTED_INCARNATION);
            assertHeldUntil(mFixture.nowMs + RunTracker.MAX_CALL_DELAY_MS + mLeaseMs);
        }

        /** As above, but a late poll may extend the lease of a run that the late start began. */
        @Test
        void unansweredPollExtendsTheLeaseOfALateStart() {
            answer(start(), OrderAnswer.UNKNOWN);
            mFixture.addWorker("w2", "r1");
            mFixture.nowMs += 1_000;
            mScheduler.onUnansweredCall(W1, mFixture.nowMs);
            mFixture.restartWorker("w1", "r1", RESTARTED_INCARNATION);
            assertHeldUntil(mFixture.nowMs + RunTracker.MAX_CALL_DELAY_MS + mLeaseMs);
        }

        /** As above, but the new incarnation has reported the run before it became silent. */
        @Test
        void adoptedRunOutlastsTheOwnersLeases() {
            JobAction.Start start = start();
            answer(start, OrderAnswer.UNKNOWN);
            mFixture.addWorker("w2", "r1");
            long untilMs = mFixture.nowMs + RunTracker.MAX_CALL_DELAY_MS + mLeaseMs;
            mFixture.report("w1", RESTARTED_INCARNATION, List.of(running(start, 0)), List.of());
            mFixture.restartWorker("w1", "r1", RESTARTED_INCARNATION);
            assertHeldUntil(untilMs);
        }

        /**
         * As above, but the start was sent by an earlier owner, which the worker may not reject.
         */
        @Test
        void recordedRunOutlastsTheLeasesOfARestartedWorker() {
            JobSchedulerFixture next = new JobSchedulerFixture();
            next.restartWorker("w1", "r1", RESTARTED_INCARNATION);
            next.addWorker("w2", "r1");
            TaskProgress savedTask = new TaskProgress(0, 0, 0, 5, 0, 0, false, W1, INCARNATION, "");
            next.submit(
                    "j1",
                    BULK,
                    new ProgressRecord(WorkState.ACTIVE, List.of(savedTask)),
                    step(1, 1, 1_000).build());
            next.nowMs += mLeaseMs + 1;
            next.scheduler.onLeaseExpired(W1, next.nowMs);
            assertThat(starts(next.runRound())).isEmpty();
            next.nowMs += RunTracker.MAX_CALL_DELAY_MS;
            next.scheduler.onLeaseExpired(W1, next.nowMs);
            assertThat(starts(next.runRound())).hasSize(1);
        }

        /**
         * Guards against a second run when a silent worker restarts after its leases have expired.
         */
        @Test
        void unansweredStartOutlastsTheLeasesOfAWorkerThatMayRestart() {
            answer(start(), OrderAnswer.UNKNOWN);
            mFixture.addWorker("w2", "r1");
            assertHeldUntil(mFixture.nowMs + RunTracker.MAX_CALL_DELAY_MS + mLeaseMs);
        }

        /** Guards against a retry beside a copy that a new incarnation starts before it reports. */
        @Test
        void failedRunIsNotRetriedWhileACopyOfItsStartCanArrive() {
            JobAction.Start start = start();
            answer(start, OrderAnswer.UNKNOWN);
            answer(start, OrderAnswer.ACCEPTED);
            mScheduler.takeActions();
            mFixture.addWorker("w2", "r1");
            mFixture.report("w1", List.of(), List.of(ended(1, start.run(), RunOutcome.FAILED)));
            mFixture.restartWorker("w1", "r1", RESTARTED_INCARNATION);
            assertThat(starts(mFixture.runRound())).isEmpty();
        }

        /** Guards against waiting for late starts of a run whose starts were all answered. */
        @Test
        void answeredStartEndsWithTheLeasesOfARestartedWorker() {
            answer(start(), OrderAnswer.ACCEPTED);
            mFixture.addWorker("w2", "r1");
            mFixture.restartWorker("w1", "r1", RESTARTED_INCARNATION);
            mFixture.nowMs += mLeaseMs + 1;
            mScheduler.onLeaseExpired(W1, mFixture.nowMs);
            assertThat(starts(mFixture.runRound())).hasSize(1);
        }

        /** Guards against a late copy of a start that begins a run again after its end. */
        @Test
        void endedRunIsStoppedOnTheNewIncarnation() {
            JobAction.Start start = startThatEndedWithAnUnansweredCopy();
            restart();
            assertThat(stops(mFixture.runRound()))
                    .extracting(JobAction.Stop::run)
                    .containsExactly(start.run());
        }

        /** Guards against stops of runs whose starts can no longer arrive. */
        @Test
        void endedRunIsNotStoppedAfterTheCallDelay() {
            startThatEndedWithAnUnansweredCopy();
            mFixture.nowMs += RunTracker.MAX_CALL_DELAY_MS + 1;
            restart();
            assertThat(stops(mFixture.runRound())).isEmpty();
        }

        private JobAction.Start startThatEndedWithAnUnansweredCopy() {
            JobAction.Start start = start();
            answer(start, OrderAnswer.UNKNOWN);
            answer(start, OrderAnswer.ACCEPTED);
            mScheduler.takeActions();
            mFixture.report("w1", List.of(), List.of(ended(1, start.run(), RunOutcome.DONE)));
            assertThat(mFixture.runRound()).isEmpty();
            return start;
        }

        private void answer(JobAction.Start start, OrderAnswer answer) {
            mScheduler.onStartAnswer(start.worker(), start.run(), answer, mFixture.nowMs);
        }

        private void restart() {
            mScheduler.onWorkerUnresponsive(W1);
            mFixture.restartWorker("w1", "r1", RESTARTED_INCARNATION);
            mFixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        }

        private void assertUsedOnlyAfterTheCallDelay() {
            mFixture.nowMs += RunTracker.MAX_CALL_DELAY_MS - 1;
            mFixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
            assertThat(starts(mFixture.runRound())).isEmpty();
            mFixture.nowMs += 1;
            assertThat(starts(mFixture.runRound())).hasSize(1);
        }

        /** Checks that the owner waits for a silent worker beyond its leases until a time. */
        private void assertHeldUntil(long untilMs) {
            mFixture.runRound();
            mScheduler.onWorkerUnresponsive(W1);
            long firstMs = mFixture.nowMs + mLeaseMs + 1;
            for (long timeMs : new long[] {firstMs, untilMs}) {
                mFixture.nowMs = timeMs;
                mScheduler.onLeaseExpired(W1, mFixture.nowMs);
                assertThat(starts(mFixture.runRound())).isEmpty();
            }
            mFixture.nowMs += 1;
            mScheduler.onLeaseExpired(W1, mFixture.nowMs);
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().attempt())
                    .containsExactly(2);
        }
    }

    private JobAction.Start start() {
        return starts(mFixture.runRound()).get(0);
    }
}
