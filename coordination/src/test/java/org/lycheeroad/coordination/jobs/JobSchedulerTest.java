package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.gang;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.tasks;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.WorkState;

/** Saving of runs and ends, gangs, and handling of failures. */
class JobSchedulerTest {
    private static final JobId JOB = new JobId("j1");
    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    @Nested
    class Persistence {
        /** Guards against a run that a new owner cannot know because it was started unsaved. */
        @Test
        void runStartsOnlyOnceItsRecordIsSaved() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            assertThat(starts(mFixture.runRound(false))).isEmpty();
            mFixture.saveAll();
            assertThat(starts(mScheduler.takeActions())).hasSize(1);
        }

        /** Guards against losing an end with the owner because the worker has forgotten it. */
        @Test
        void endIsAcknowledgedOnlyOnceItIsSaved() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            mFixture.report(
                    "w1", List.of(), List.of(ended(1, actions.get(0).run(), RunOutcome.DONE)));
            assertThat(mScheduler.acknowledgedEnd(new WorkerId("w1"))).isZero();
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.ACTIVE);
            mFixture.saveAll();
            assertThat(mScheduler.acknowledgedEnd(new WorkerId("w1"))).isEqualTo(1);
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.COMPLETED);
        }

        /**
         * Guards against acknowledging the second member's end before the job's end is saved (found
         * on site fcvf, own day store-silent-workers-die).
         */
        @Test
        void gangMemberEndIsAcknowledgedOnlyOnceTheJobEndIsSaved() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            mFixture.submit("j1", BULK, gang(2, 8, 1_000, true));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            for (JobAction start : actions) {
                mFixture.report(
                        start.worker().value(),
                        List.of(),
                        List.of(ended(1, start.run(), RunOutcome.DONE)));
            }
            assertThat(mScheduler.acknowledgedEnd(new WorkerId("w1"))).isZero();
            assertThat(mScheduler.acknowledgedEnd(new WorkerId("w2"))).isZero();
            mFixture.saveAll();
            assertThat(mScheduler.acknowledgedEnd(new WorkerId("w1"))).isEqualTo(1);
            assertThat(mScheduler.acknowledgedEnd(new WorkerId("w2"))).isEqualTo(1);
        }

        /** Guards against starting a recorded run a second time before its worker has reported. */
        @Test
        void newOwnerAdoptsRecordedRun() {
            mFixture.submit("j1", BULK, recordedOn("w1"), tasks(1, 1, 1_000));
            mFixture.scheduler.onWorkerEntry(
                    JobSchedulerFixture.entry("w1", "r1", false), mFixture.nowMs);
            mFixture.addWorker("w2", "r1");
            assertThat(starts(mFixture.runRound())).isEmpty();
        }

        /**
         * Guards against waiting for a recorded run that its worker does not report. After the new
         * owner's first poll the worker rejects late orders, so the run cannot start any more.
         */
        @Test
        void unreportedRecordedRunIsRestartedWithHigherAttempt() {
            mFixture.submit("j1", BULK, recordedOn("w1"), tasks(1, 1, 1_000));
            mFixture.addWorker("w1", "r1");
            List<JobAction.Start> starts = starts(mFixture.runRound());
            assertThat(starts).hasSize(1);
            assertThat(starts.get(0).run().attempt()).isEqualTo(6);
        }

        /** Guards against a second run while an unregistered worker may still have the first. */
        @Test
        void recordedRunOnUnregisteredWorkerIsKeptUntilItsLeaseExpires() {
            mFixture.submit("j1", BULK, recordedOn("gone"), tasks(1, 1, 1_000));
            mFixture.addWorker("w1", "r1");
            assertThat(starts(mFixture.runRound())).isEmpty();
            mScheduler.onLeaseExpired(new WorkerId("gone"), mFixture.nowMs);
            assertThat(starts(mFixture.runRound())).hasSize(1);
        }

        private ProgressRecord recordedOn(String worker) {
            return new ProgressRecord(
                    WorkState.ACTIVE,
                    List.of(
                            new TaskProgress(
                                    0,
                                    0,
                                    0,
                                    5,
                                    0,
                                    0,
                                    false,
                                    new WorkerId(worker),
                                    JobSchedulerFixture.INCARNATION,
                                    "")));
        }
    }

    @Nested
    class Gangs {
        /**
         * Guards against placing a rack-local gang on two racks, where it takes 3 times as long.
         */
        @Test
        void rackLocalGangTakesOneRack() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r2");
            mFixture.addWorker("w3", "r2");
            mFixture.submit("j1", BULK, gang(2, 8, 1_000, true));
            assertThat(workersOf(starts(mFixture.runRound())))
                    .containsExactlyInAnyOrder("w2", "w3");
        }

        /** Guards against starting part of a gang, which would only wait. */
        @Test
        void gangThatDoesNotFitStartsNothing() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, gang(2, 8, 1_000, false));
            assertThat(starts(mFixture.runRound())).isEmpty();
        }

        /** Guards against members that wait until their timeout for one that was refused. */
        @Test
        void refusedMemberStopsTheOtherMembers() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            mFixture.submit("j1", BULK, gang(2, 8, 1_000, true));
            List<JobAction.Start> starts = starts(mFixture.runRound());
            mScheduler.onStartAnswer(
                    starts.get(0).worker(),
                    starts.get(0).run(),
                    OrderAnswer.ACCEPTED,
                    mFixture.nowMs);
            mScheduler.onStartAnswer(
                    starts.get(1).worker(),
                    starts.get(1).run(),
                    OrderAnswer.UNHEALTHY,
                    mFixture.nowMs);
            assertThat(stops(mScheduler.takeActions()))
                    .extracting(JobAction.Stop::run)
                    .contains(starts.get(0).run());
        }

        /** Each member reports its own end; the first success completes the job without stops. */
        @Test
        void successOfOneMemberCompletesTheGang() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            mFixture.submit("j1", BULK, gang(2, 8, 1_000, true));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            mFixture.report(
                    actions.get(0).worker().value(),
                    List.of(),
                    List.of(ended(1, actions.get(0).run(), RunOutcome.DONE)));
            mFixture.saveAll();
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.COMPLETED);
            assertThat(stops(mScheduler.takeActions())).isEmpty();
        }
    }

    @Nested
    class Failures {
        /** Guards against retrying a job that can never succeed forever. */
        @Test
        void jobFailsAfterMaxAttempts() {
            for (int i = 0; i < 4; i++) {
                mFixture.addWorker("w" + i, "r1");
            }
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            for (int i = 0; i < JobSchedulerFixture.MAX_ATTEMPTS; i++) {
                List<JobAction> actions = mFixture.runRound();
                mFixture.acceptStarts(actions);
                mFixture.report(
                        actions.get(0).worker().value(),
                        List.of(),
                        List.of(ended(1, actions.get(0).run(), RunOutcome.FAILED)));
            }
            mFixture.saveAll();
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.FAILED);
        }

        /** Guards against counting runs that did not fail as failed attempts. */
        @Test
        void runWithExpiredLeaseIsNotAFailure() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            for (int i = 1; i <= 2 * JobSchedulerFixture.MAX_ATTEMPTS; i++) {
                List<JobAction> actions = mFixture.runRound();
                mFixture.acceptStarts(actions);
                mFixture.report(
                        "w1",
                        List.of(),
                        List.of(ended(i, actions.get(0).run(), RunOutcome.LAPSED)));
            }
            mFixture.saveAll();
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.ACTIVE);
        }

        /** Guards against ended jobs that a new owner forgets, or keeps for good. */
        @Test
        void endedJobIsShownAndRemovedAfterStatusRetention() {
            JobId ended = new JobId("ended");
            mScheduler.onEndedJob(ended, WorkState.COMPLETED, mFixture.nowMs);
            assertThat(mScheduler.stateOf(ended)).contains(WorkState.COMPLETED);
            assertThat(mScheduler.expiredJobs(mFixture.nowMs)).isEmpty();
            mFixture.nowMs += 2 * JobSchedulerFixture.SETTINGS.statusRetentionMs() + 1;
            assertThat(mScheduler.expiredJobs(mFixture.nowMs)).containsExactly(ended);
        }

        /** Guards against a broken worker that uses up the attempts of all jobs. */
        @Test
        void workerThatFailsSeveralJobsIsQuarantined() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            mFixture.submit("j2", BULK, tasks(1, 1, 1_000));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            mFixture.report(
                    "w1",
                    List.of(),
                    List.of(
                            ended(1, actions.get(0).run(), RunOutcome.FAILED),
                            ended(2, actions.get(1).run(), RunOutcome.FAILED)));
            assertThat(starts(mFixture.runRound())).isEmpty();
            mFixture.nowMs += 3_001;
            assertThat(starts(mFixture.runRound())).hasSize(2);
        }

        /** Guards against a stalled task that holds its resources forever. */
        @Test
        void stalledRunIsStopped() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            mFixture.nowMs += 4_000;
            mFixture.report("w1", List.of(running(actions.get(0), 0)), List.of());
            assertThat(stops(mFixture.runRound()))
                    .extracting(JobAction.Stop::reason)
                    .contains(StopReason.STALLED);
        }

        /**
         * Guards against stopping all work, and mistrusting its workers, because the owner could
         * not poll them during a silence of the store.
         */
        @Test
        void runWithoutReportsIsNotStalled() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 10_000));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            mFixture.report("w1", List.of(running(actions.get(0), 0)), List.of());
            mFixture.nowMs += 4_000;
            assertThat(stops(mFixture.runRound())).isEmpty();
            mFixture.report("w1", List.of(running(actions.get(0), 40)), List.of());
            assertThat(stops(mFixture.runRound())).isEmpty();
        }

        /**
         * Guards against stopping a task that takes longer than estimated: its percentage stops
         * rising at the estimate (found with seed 201000690 and on site fcvf, day quiet-1).
         */
        @Test
        void runPastItsEstimateIsNotStalled() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            mFixture.report("w1", List.of(running(actions.get(0), 99)), List.of());
            mFixture.nowMs += 10_000;
            mFixture.report("w1", List.of(running(actions.get(0), 99)), List.of());
            assertThat(stops(mFixture.runRound())).isEmpty();
        }

        /**
         * Guards against tasks that stay bound to a worker whose lease has expired (found by random
         * testing on wentmont-sched, mix seed 919603474525).
         */
        @Test
        void expiredLeaseFreesTheTasksOfAWorker() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            mFixture.acceptStarts(mFixture.runRound());
            mFixture.addWorker("w2", "r1");
            mScheduler.onWorkerUnresponsive(new WorkerId("w1"));
            assertThat(starts(mFixture.runRound())).isEmpty();
            mScheduler.onLeaseExpired(new WorkerId("w1"), mFixture.nowMs);
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("w2");
        }

        /**
         * Guards against a third run of a task whose first run is listed as done while the second
         * one runs (fcvf-grown, hunt-28b9-7).
         */
        @Test
        void lateSuccessCountsWhileANewerRunIsRunning() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            List<JobAction> first = mFixture.runRound();
            mFixture.acceptStarts(first);
            mFixture.addWorker("w2", "r1");
            mScheduler.onWorkerUnresponsive(new WorkerId("w1"));
            mScheduler.onLeaseExpired(new WorkerId("w1"), mFixture.nowMs);
            List<JobAction> second = mFixture.runRound();
            mFixture.acceptStarts(second);
            mFixture.report(
                    "w1", List.of(), List.of(ended(1, first.get(0).run(), RunOutcome.DONE)));
            List<JobAction> actions = mFixture.runRound();
            assertThat(stops(actions))
                    .extracting(JobAction.Stop::run)
                    .containsExactly(second.get(0).run());
            mFixture.saveAll();
            assertThat(mScheduler.stateOf(new JobId("j1"))).contains(WorkState.COMPLETED);
            mFixture.report(
                    "w2", List.of(), List.of(ended(1, second.get(0).run(), RunOutcome.STOPPED)));
            assertThat(starts(mFixture.runRound())).isEmpty();
        }

        /** Guards against a long-running task that stays down after an end that is listed late. */
        @Test
        void lateEndDoesNotCompleteALongRunningTask() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).longRunning().build());
            List<JobAction> first = mFixture.runRound();
            mFixture.acceptStarts(first);
            mFixture.addWorker("w2", "r1");
            mScheduler.onWorkerUnresponsive(new WorkerId("w1"));
            mScheduler.onLeaseExpired(new WorkerId("w1"), mFixture.nowMs);
            mFixture.acceptStarts(mFixture.runRound());
            mFixture.report(
                    "w1", List.of(), List.of(ended(1, first.get(0).run(), RunOutcome.DONE)));
            assertThat(mFixture.runRound()).isEmpty();
            assertThat(mScheduler.stateOf(new JobId("j1"))).contains(WorkState.ACTIVE);
        }

        /** Guards against runs that are started again without a trace of why the first was over. */
        @Test
        void runThatIsTakenAsOverIsNamed() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            JobAction.Start start = starts(mFixture.runRound()).get(0);
            mScheduler.onStartAnswer(
                    start.worker(), start.run(), OrderAnswer.UNKNOWN, mFixture.nowMs);
            mFixture.nowMs += 7_000;
            mScheduler.onLeaseExpired(new WorkerId("w1"), mFixture.nowMs);
            assertThat(mScheduler.takeDroppedRuns())
                    .containsExactly(
                            new DroppedRun(
                                    start.run(),
                                    start.worker(),
                                    DroppedRun.Cause.LEASE_EXPIRED,
                                    "STARTING",
                                    7_000,
                                    true));
            assertThat(mScheduler.takeDroppedRuns()).isEmpty();
        }

        /** Guards against a second run of a task whose first start waits longer than its lease. */
        @Test
        void issuedStartOfARunThatIsOverIsNotSent() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            mFixture.runRound(false);
            mFixture.saveAll();
            mScheduler.onLeaseExpired(new WorkerId("w1"), mFixture.nowMs);
            assertThat(mScheduler.takeActions()).isEmpty();
        }

        /** Guards against a second run while a late start may still arrive. */
        @Test
        void unansweredStartIsRepeatedAndThenStopped() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            JobAction.Start start = starts(mFixture.runRound()).get(0);
            mScheduler.onStartAnswer(
                    start.worker(), start.run(), OrderAnswer.UNKNOWN, mFixture.nowMs);
            assertThat(starts(mScheduler.takeActions())).containsExactly(start);
            mFixture.nowMs += 2_000;
            mScheduler.onStartAnswer(
                    start.worker(), start.run(), OrderAnswer.UNKNOWN, mFixture.nowMs);
            assertThat(stops(mScheduler.takeActions())).hasSize(1);
            mFixture.report("w1", List.of(), List.of());
            assertThat(starts(mFixture.runRound())).isEmpty();
            mScheduler.onStopAnswer(
                    start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
            mFixture.report("w1", List.of(), List.of());
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().attempt())
                    .containsExactly(2);
        }
    }
}
