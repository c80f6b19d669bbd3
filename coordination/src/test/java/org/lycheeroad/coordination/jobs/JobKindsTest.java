package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.URGENT;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;

/** Timed jobs, long-running tasks, placement constraints and ended jobs. */
class JobKindsTest {
    private static final JobId JOB = new JobId("j1");
    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    @Nested
    class TimedJobs {
        private static final long INTERVAL_MS = 5_000;

        /** Guards against occurrences that start early or are left out. */
        @Test
        void eachOccurrenceStartsWhenItIsDue() {
            mFixture.addWorker("w1", "r1");
            submitTimedJob(3, mFixture.nowMs + 1_000);
            assertThat(starts(mFixture.runRound())).isEmpty();
            mFixture.nowMs += 1_000;
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().task().occurrence())
                    .containsExactly(0);
            mFixture.nowMs += INTERVAL_MS - 1;
            assertThat(starts(mFixture.runRound())).isEmpty();
            mFixture.nowMs += 1;
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().task().occurrence())
                    .containsExactly(1);
        }

        /** Guards against completing, and then removing, a job that has occurrences to come. */
        @Test
        void jobIsCompletedOnlyAfterItsLastOccurrence() {
            mFixture.addWorker("w1", "r1");
            submitTimedJob(2, mFixture.nowMs);
            runToCompletion(1);
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.ACTIVE);
            mFixture.nowMs += INTERVAL_MS;
            runToCompletion(2);
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.COMPLETED);
        }

        /** Guards against losing occurrences that came due while there was no owner. */
        @Test
        void missedOccurrencesStart() {
            mFixture.addWorker("w1", "r1");
            submitTimedJob(3, mFixture.nowMs - 2 * INTERVAL_MS);
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().task().occurrence())
                    .containsExactlyInAnyOrder(0, 1, 2);
        }

        /**
         * Guards against losing occurrences that were due, but behind a later one, at a takeover.
         */
        @Test
        void newOwnerStartsOccurrencesBeforeAStartedOne() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            submitTimedJob(3, mFixture.nowMs - 2 * INTERVAL_MS, onlyRunOf(2, "w2"));
            mFixture.report("w2", List.of(new ActiveRun(run(2), "", 10, 0)), List.of());
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().task().occurrence())
                    .containsExactlyInAnyOrder(0, 1);
        }

        /** Guards against completing a job of which only the last occurrence has run. */
        @Test
        void newOwnerCompletesTheJobOnlyAfterItsEarlierOccurrences() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            submitTimedJob(2, mFixture.nowMs - INTERVAL_MS, onlyRunOf(1, "w2"));
            mFixture.report("w2", List.of(), List.of(ended(1, run(1), RunOutcome.DONE)));
            mFixture.saveAll();
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.ACTIVE);
            runToCompletion(1);
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.COMPLETED);
        }

        private RunRef run(int occurrence) {
            return new RunRef(new TaskRef(JOB, occurrence, 0, 0), 1);
        }

        private ProgressRecord onlyRunOf(int occurrence, String worker) {
            return new ProgressRecord(
                    WorkState.ACTIVE,
                    List.of(
                            new TaskProgress(
                                    occurrence,
                                    0,
                                    0,
                                    1,
                                    0,
                                    0,
                                    false,
                                    new WorkerId(worker),
                                    JobSchedulerFixture.INCARNATION,
                                    "")));
        }

        private void submitTimedJob(int times, long startAtMs) {
            submitTimedJob(times, startAtMs, null);
        }

        private void submitTimedJob(int times, long startAtMs, ProgressRecord progress) {
            JobPlan plan =
                    new JobPlan(
                            "spec",
                            List.of(step(1, 1, 1_000).build()),
                            times,
                            startAtMs,
                            INTERVAL_MS);
            JobRecord record = new JobRecord(BULK, JobSchedulerFixture.TEAM, plan, 0);
            mScheduler.onJob(JOB, record, progress, 0, mFixture.nowMs);
        }

        private void runToCompletion(int endNumber) {
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            assertThat(starts(actions)).hasSize(1);
            mFixture.report(
                    "w1",
                    List.of(),
                    List.of(ended(endNumber, actions.get(0).run(), RunOutcome.DONE)));
            mFixture.saveAll();
        }
    }

    @Nested
    class LongRunningTasks {
        /** Guards against a long-running task that stays down after its run has ended. */
        @Test
        void taskIsRestartedWhateverItsRunEnd() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).longRunning().build());
            int endNumber = 1;
            for (RunOutcome how : RunOutcome.values()) {
                List<JobAction> actions = mFixture.runRound();
                mFixture.acceptStarts(actions);
                assertThat(starts(actions)).as("start before %s", how).hasSize(1);
                mFixture.report(
                        "w1", List.of(), List.of(ended(endNumber++, actions.get(0).run(), how)));
            }
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.ACTIVE);
        }

        /** Guards against a cancelled long-running task that holds its resources forever. */
        @Test
        void taskIsStoppedWhenItsJobIsCancelled() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).longRunning().build());
            mFixture.acceptStarts(mFixture.runRound());
            mScheduler.onCancel(JOB, mFixture.nowMs);
            assertThat(stops(mFixture.runRound())).hasSize(1);
        }

        /** Guards against best-effort tasks that keep serving tasks off the last worker. */
        @Test
        void servingTaskStartsBesideBestEffortTasks() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("fill", BULK, step(4, 1, 60_000).fills().build());
            mFixture.acceptStarts(mFixture.runRound());
            mFixture.submit("j1", BULK, step(1, 1, 1_000).serves(100).build());
            assertThat(starts(mFixture.runRound())).hasSize(1);
        }
    }

    @Nested
    class PlacementConstraints {
        /** Guards against placing a task on a worker without the label that it requires. */
        @Test
        void taskRunsOnlyOnWorkersWithItsLabel() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r2");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).label("r2").build());
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("w2");
            mFixture.submit("j2", BULK, step(1, 1, 1_000).label("other").build());
            assertThat(starts(mFixture.runRound())).isEmpty();
        }

        /**
         * Guards against placing tasks off the rack of their data, where they take 3 times as long.
         */
        @Test
        void taskRunsOnTheRackOfItsData() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r2");
            mFixture.submit("j1", URGENT, step(4, 2, 1_000).dataRack("r2").build());
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("w2");
        }

        /** Guards against a task that waits forever for a rack that no longer exists. */
        @Test
        void taskRunsElsewhereIfItsDataRackIsGone() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).dataRack("gone").build());
            assertThat(starts(mFixture.runRound())).hasSize(1);
        }
    }

    @Nested
    class EndedJobs {
        /** Guards against records of ended jobs that accumulate in the store. */
        @Test
        void endedJobExpiresAfterItsRetention() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
            mScheduler.onCancel(JOB, mFixture.nowMs);
            mFixture.saveAll();
            mFixture.nowMs += JobSchedulerFixture.SETTINGS.statusRetentionMs();
            assertThat(mScheduler.expiredJobs(mFixture.nowMs)).isEmpty();
            mFixture.nowMs += JobSchedulerFixture.SETTINGS.statusRetentionMs() + 1;
            assertThat(mScheduler.expiredJobs(mFixture.nowMs)).containsExactly(JOB);
            mScheduler.removeEndedJob(JOB);
            assertThat(mScheduler.stateOf(JOB)).isEmpty();
        }
    }
}
