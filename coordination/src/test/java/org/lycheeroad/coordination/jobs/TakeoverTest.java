package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.INCARNATION;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.URGENT;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;

/** What the next owner does with the runs that saved progress lists. */
class TakeoverTest {
    private static final JobId JOB = new JobId("j1");

    /** Longer than the time after which a stop without effect is repeated. */
    private static final long STOP_RETRY_MS = 1_000;

    private static final long TAIL_TARGET_MS = 100;

    /** Longer than any quarantine of a worker. */
    private static final long QUARANTINE_MS = 30_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();

    @Nested
    class EndedJobs {
        /** Guards against a run of a cancelled job that outlives the owner that had to stop it. */
        @Test
        void runOfACancelledJobIsStopped() {
            restoreRunOn("w1", WorkState.CANCELLED);
            assertThat(stops(mFixture.runRound()))
                    .extracting(JobAction.Stop::run, JobAction.Stop::reason)
                    .containsExactly(tuple(run(0), StopReason.JOB_ENDED));
        }

        /** Guards against a run that lasts because the stop of the next owner is lost too. */
        @Test
        void stopIsRepeatedUntilTheRunHasEnded() {
            restoreRunOn("w1", WorkState.FAILED);
            mFixture.runRound();
            mFixture.nowMs += STOP_RETRY_MS;
            reportRunning("w1", 0);
            assertThat(stops(mFixture.runRound())).hasSize(1);
            mFixture.report("w1", List.of(), List.of(ended(1, run(0), RunOutcome.STOPPED)));
            mFixture.nowMs += STOP_RETRY_MS;
            assertThat(mFixture.runRound()).isEmpty();
            assertThat(mFixture.scheduler.mayHaveRuns(new WorkerId("w1"))).isFalse();
        }

        /** Guards against ending the work of jobs that have not ended. */
        @Test
        void runOfAnActiveJobContinues() {
            restoreRunOn("w1", WorkState.ACTIVE);
            assertThat(mFixture.runRound()).isEmpty();
        }

        private void restoreRunOn(String worker, WorkState state) {
            mFixture.submit(
                    "j1",
                    BULK,
                    new ProgressRecord(state, List.of(progress(0, worker))),
                    step(1, 1, 1_000).longRunning().build());
            mFixture.addWorkerEntry(worker, "r1");
            reportRunning(worker, 0);
        }
    }

    @Nested
    class Gangs {
        /** Guards against members that run on alone because an earlier owner's stop was lost. */
        @Test
        void membersOfABrokenGangAreStopped() {
            restoreGangOn("w1", "w2", null);
            assertThat(stops(mFixture.runRound()))
                    .extracting(JobAction.Stop::run)
                    .containsExactlyInAnyOrder(run(0), run(1));
        }

        /** Guards against a broken gang that never starts again. */
        @Test
        void brokenGangRestartsOnceItsMembersHaveEnded() {
            restoreGangOn("w1", "w2", null);
            mFixture.addWorker("w3", "r1");
            assertThat(starts(mFixture.runRound())).isEmpty();
            mFixture.report("w1", List.of(), List.of(ended(1, run(0), RunOutcome.STOPPED)));
            mFixture.report("w2", List.of(), List.of(ended(1, run(1), RunOutcome.STOPPED)));
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().attempt())
                    .containsExactly(2, 2, 2);
        }

        /** Guards against breaking a gang that all its workers report. */
        @Test
        void wholeGangContinues() {
            restoreGangOn("w1", "w2", "w3");
            assertThat(mFixture.runRound()).isEmpty();
        }

        /**
         * Guards against a job that is shown as failed too early, because two owners count the
         * failure of one attempt: each sees the end of another member.
         */
        @Test
        void failedAttemptIsCountedOnceIfTwoOwnersSeeItsEnds() {
            StepPlan gang = step(2, 8, 5_000).gang().build();
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            mFixture.submit("j1", BULK, gang);
            List<JobAction.Start> firstStarts = starts(mFixture.runRound());
            mFixture.acceptStarts(List.copyOf(firstStarts));
            reportFailure(mFixture, firstStarts.get(0), 1);
            ProgressRecord saved = mFixture.scheduler.takeUnsavedProgress().get(0).progress();

            JobSchedulerFixture next = new JobSchedulerFixture();
            next.submit("j1", BULK, saved, gang);
            next.addWorkerEntry("w1", "r1");
            next.addWorkerEntry("w2", "r1");
            reportFailure(next, firstStarts.get(0), 1);
            reportFailure(next, firstStarts.get(1), 1);
            for (int attempt = 2; attempt <= JobSchedulerFixture.MAX_ATTEMPTS; attempt++) {
                next.saveAll();
                assertThat(next.scheduler.stateOf(JOB)).hasValue(WorkState.ACTIVE);
                next.nowMs += QUARANTINE_MS;
                List<JobAction.Start> starts = starts(next.runRound());
                assertThat(starts)
                        .extracting(s -> s.run().attempt())
                        .containsExactly(attempt, attempt);
                next.acceptStarts(List.copyOf(starts));
                reportFailure(next, starts.get(0), attempt);
                reportFailure(next, starts.get(1), attempt);
            }
            next.saveAll();
            assertThat(next.scheduler.stateOf(JOB)).hasValue(WorkState.FAILED);
        }

        private static void reportFailure(
                JobSchedulerFixture fixture, JobAction.Start start, long endNumber) {
            fixture.report(
                    start.worker().value(),
                    List.of(),
                    List.of(ended(endNumber, start.run(), RunOutcome.FAILED)));
        }

        /** Restores a gang with one member a worker; null for a member whose run has ended. */
        private void restoreGangOn(String... workers) {
            List<TaskProgress> tasks = new ArrayList<>();
            for (int i = 0; i < workers.length; i++) {
                tasks.add(progress(i, workers[i]));
            }
            mFixture.submit(
                    "j1",
                    BULK,
                    new ProgressRecord(WorkState.ACTIVE, tasks),
                    step(workers.length, 8, 5_000).gang().build());
            for (int i = 0; i < workers.length; i++) {
                if (workers[i] != null) {
                    mFixture.addWorkerEntry(workers[i], "r1");
                    reportRunning(workers[i], i);
                }
            }
        }
    }

    /** Best-effort tasks whose speed an earlier owner may have lowered. */
    @Nested
    class BestEffortTasks {
        /** Guards against a task that stays paused for good. */
        @Test
        void taskGetsFullSpeedOnAWorkerWithoutServingTasks() {
            restore("fill", step(1, 1, 1_000).fills().build());
            mFixture.report("w1", List.of(active("fill", 0)), List.of());
            assertThat(orderedPercents()).containsExactly(100);
        }

        /** Guards against a task that disturbs a serving task by its full speed. */
        @Test
        void taskGetsALowSpeedBesideAServingTask() {
            restore("serve", step(1, 1, 1_000).serves(TAIL_TARGET_MS).build());
            restore("fill", step(1, 1, 1_000).fills().build());
            mFixture.report(
                    "w1",
                    List.of(active("serve", TAIL_TARGET_MS / 2), active("fill", 0)),
                    List.of());
            assertThat(orderedPercents()).hasSize(1).allMatch(percent -> percent < 50);
        }

        private void restore(String job, StepPlan plan) {
            mFixture.submit(
                    job,
                    BULK,
                    new ProgressRecord(WorkState.ACTIVE, List.of(progress(0, "w1"))),
                    plan);
            mFixture.addWorkerEntry("w1", "r1");
        }

        private static ActiveRun active(String job, long usage) {
            RunRef run = new RunRef(new TaskRef(new JobId(job), 0, 0, 0), 1);
            return new ActiveRun(run, "", 100, usage);
        }

        private List<Integer> orderedPercents() {
            return mFixture.scheduler.takeActions().stream()
                    .filter(JobAction.Throttle.class::isInstance)
                    .map(action -> ((JobAction.Throttle) action).percent())
                    .toList();
        }
    }

    @Nested
    class AbsentWorkers {
        /**
         * Guards against a decision round that fails, and so stops all work, because a run is on a
         * worker that left the directory before the takeover.
         */
        @Test
        void pendingTasksOfARackLocalStepStartBesideKnownRuns() {
            mFixture.addWorker("w2", "r2");
            restoreOn(step(3, 1, 5_000).rackLocal().build(), "w1", "gone");
            mFixture.addWorkerEntry("w1", "r1");
            reportRunning("w1", 0);
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("w1");
        }

        /** As above, with no run on a rack that is known. */
        @Test
        void pendingTasksOfARackLocalStepStartIfNoRackIsKnown() {
            mFixture.addWorker("w1", "r1");
            restoreOn(step(2, 1, 5_000).rackLocal().build(), "gone");
            assertThat(starts(mFixture.runRound())).hasSize(1);
        }

        /** As above, for steps with other properties; their other tasks start. */
        @Test
        void roundHandlesARunOnAnAbsentWorkerForEveryKindOfStep() {
            List<StepBuilder> kinds =
                    List.of(
                            step(2, 1, 5_000),
                            step(2, 1, 5_000).dataRack("r1"),
                            step(2, 1, 5_000).dataRack("r1").rackLocal(),
                            step(2, 1, 5_000).label("r1"),
                            step(2, 1, 5_000).checkpointing(),
                            step(2, 1, 5_000).longRunning(),
                            step(2, 1, 5_000).serves(100),
                            step(2, 1, 5_000).fills());
            for (StepBuilder kind : kinds) {
                JobSchedulerFixture fixture = new JobSchedulerFixture();
                fixture.addWorker("w1", "r1");
                fixture.submit(
                        "j1",
                        URGENT,
                        new ProgressRecord(WorkState.ACTIVE, List.of(progress(0, "gone"))),
                        kind.build());
                assertThat(starts(fixture.runRound())).as("%s", kind.build()).hasSize(1);
            }
        }

        /** Guards against a gang that is started again while a member may still run. */
        @Test
        void gangWaitsForTheLeaseOfItsAbsentMember() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            restoreOn(step(2, 8, 5_000).gang().rackLocal().build(), "w1", "gone");
            assertThat(starts(mFixture.runRound())).isEmpty();
            mFixture.scheduler.onLeaseExpired(new WorkerId("gone"), mFixture.nowMs);
            mFixture.report("w1", List.of(), List.of());
            assertThat(starts(mFixture.runRound())).hasSize(2);
        }

        private void restoreOn(StepPlan plan, String... workers) {
            List<TaskProgress> tasks = new ArrayList<>();
            for (int i = 0; i < workers.length; i++) {
                tasks.add(progress(i, workers[i]));
            }
            mFixture.submit("j1", BULK, new ProgressRecord(WorkState.ACTIVE, tasks), plan);
        }
    }

    /** Reports of a worker that has more ended runs than it lists at a time. */
    @Nested
    class EndsListedInParts {
        /** Guards against tasks that run again because their ends are not listed yet. */
        @Test
        void doneTaskIsNotStartedAgainIfItsEndIsListedLater() {
            restoreTasksOn("w1");
            mFixture.reportFirstEnds("w1", INCARNATION, List.of(done(1)));
            assertThat(starts(mFixture.runRound())).isEmpty();
            assertThat(mFixture.scheduler.needsPoll(new WorkerId("w1"))).isTrue();
            mFixture.report("w1", List.of(), List.of(done(2)));
            assertThat(starts(mFixture.runRound())).isEmpty();
            assertThat(mFixture.scheduler.stateOf(JOB)).hasValue(WorkState.COMPLETED);
        }

        /** As above, if the worker has restarted since the run was recorded. */
        @Test
        void doneTaskIsNotStartedAgainIfItRanInANewIncarnation() {
            restoreTasksOn("w1");
            mFixture.reportFirstEnds("w1", INCARNATION + 1, List.of(done(1)));
            assertThat(starts(mFixture.runRound())).isEmpty();
            mFixture.report("w1", INCARNATION + 1, List.of(), List.of(done(2)));
            assertThat(starts(mFixture.runRound())).isEmpty();
            assertThat(mFixture.scheduler.stateOf(JOB)).hasValue(WorkState.COMPLETED);
        }

        /** Guards against a lost run whose task is never started again. */
        @Test
        void runIsOverOnceAllEndsAreListedWithoutIt() {
            restoreTasksOn("w1");
            mFixture.reportFirstEnds("w1", INCARNATION, List.of(done(1)));
            mFixture.report("w1", List.of(), List.of());
            assertThat(starts(mFixture.runRound()))
                    .extracting(JobAction.Start::run)
                    .containsExactly(new RunRef(run(1).task(), 2));
        }

        /** Restores two tasks with a run each. */
        private void restoreTasksOn(String worker) {
            mFixture.submit(
                    "j1",
                    BULK,
                    new ProgressRecord(
                            WorkState.ACTIVE, List.of(progress(0, worker), progress(1, worker))),
                    step(2, 1, 1_000).build());
            mFixture.addWorkerEntry(worker, "r1");
        }

        private static EndedRun done(int number) {
            return ended(number, run(number - 1), RunOutcome.DONE);
        }
    }

    /** Jobs whose queue the configuration no longer has. */
    @Nested
    class RemovedQueues {
        private final QueueName mRemoved = new QueueName("removed");

        /** Guards against a job that is shown as failed although it may have further attempts. */
        @Test
        void jobWithUnknownSettingsDoesNotEndByOneFailure() {
            mFixture.addWorkerEntry("w1", "r1");
            mFixture.submit(
                    "j1",
                    mRemoved,
                    new ProgressRecord(WorkState.ACTIVE, List.of(progress(0, "w1"))),
                    step(1, 1, 1_000).build());
            reportRunning("w1", 0);
            mFixture.report("w1", List.of(), List.of(ended(1, run(0), RunOutcome.FAILED)));
            mFixture.saveAll();
            assertThat(mFixture.scheduler.stateOf(JOB)).hasValue(WorkState.ACTIVE);
        }

        /** Guards against a job that stands still until its queue is back. */
        @Test
        void storedSettingsApplyUntilTheConfigurationHasTheQueue() {
            mFixture.addWorker("w1", "r1");
            QueueConfig queue = JobSchedulerFixture.config().queue(BULK).orElseThrow();
            JobPlan plan = new JobPlan("spec", List.of(step(1, 1, 1_000).build()), 0, 0, 0);
            JobRecord record =
                    new JobRecord(mRemoved, JobSchedulerFixture.TEAM, plan, 0, queue.settings());
            mFixture.scheduler.onJob(JOB, record, null, 0, mFixture.nowMs);
            QueueConfig moved =
                    new QueueConfig(
                            mRemoved, "h", "/", new ServiceName("other"), 1, 1, 3, 0, true, null);
            mFixture.scheduler.onConfig(new ClusterConfig(2, List.of(moved), List.of()));
            assertThat(starts(mFixture.runRound())).isEmpty();

            JobSchedulerFixture next = new JobSchedulerFixture();
            next.addWorker("w1", "r1");
            next.scheduler.onJob(JOB, record, null, 0, next.nowMs);
            assertThat(starts(next.runRound())).hasSize(1);
        }
    }

    private void reportRunning(String worker, int index) {
        mFixture.report(worker, List.of(new ActiveRun(run(index), "", 10, 0)), List.of());
    }

    private static RunRef run(int index) {
        return new RunRef(new TaskRef(JOB, 0, 0, index), 1);
    }

    private static TaskProgress progress(int index, String worker) {
        return new TaskProgress(
                0,
                0,
                index,
                1,
                0,
                0,
                false,
                worker == null ? null : new WorkerId(worker),
                worker == null ? 0 : INCARNATION,
                "");
    }
}
