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
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.RunEnd;
import org.lycheeroad.state.work.WorkState;

/** Jobs at set times, jobs that last, and jobs that ask for a place. */
class JobKindsTest {
    private static final JobId JOB = new JobId("j1");
    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    @Nested
    class TimedJobs {
        private static final long INTERVAL_MS = 5_000;

        /** An occurrence before its time, or one that is left out, breaks the caller's plan. */
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

        /** A job that is shown as completed before its last time is over is forgotten. */
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

        /** Occurrences that came due while no owner was there must still run. */
        @Test
        void missedOccurrencesStart() {
            mFixture.addWorker("w1", "r1");
            submitTimedJob(3, mFixture.nowMs - 2 * INTERVAL_MS);
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().task().occurrence())
                    .containsExactlyInAnyOrder(0, 1, 2);
        }

        private void submitTimedJob(int times, long startAtMs) {
            JobPlan plan =
                    new JobPlan(
                            "spec",
                            List.of(step(1, 1, 1_000).build()),
                            times,
                            startAtMs,
                            INTERVAL_MS);
            JobRecord record = new JobRecord(BULK, JobSchedulerFixture.TEAM, plan, 0);
            mScheduler.onJob(JOB, record, null, 0, mFixture.nowMs);
        }

        private void runToCompletion(int end) {
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            assertThat(starts(actions)).hasSize(1);
            mFixture.report(
                    "w1", List.of(), List.of(ended(end, actions.get(0).run(), RunEnd.DONE)));
            mFixture.saveAll();
        }
    }

    @Nested
    class LongRunningTasks {
        /** However a lasting task ends, its users wait for it to come back. */
        @Test
        void taskIsRestartedWhateverItsRunEnd() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).longRunning().build());
            int end = 1;
            for (RunEnd how : RunEnd.values()) {
                List<JobAction> actions = mFixture.runRound();
                mFixture.acceptStarts(actions);
                assertThat(starts(actions)).as("start before %s", how).hasSize(1);
                mFixture.report("w1", List.of(), List.of(ended(end++, actions.get(0).run(), how)));
            }
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.ACTIVE);
        }

        /** A lasting task that goes on after the cancel holds its room for ever. */
        @Test
        void taskIsStoppedWhenItsJobIsCancelled() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).longRunning().build());
            mFixture.acceptStarts(mFixture.runRound());
            mScheduler.onCancel(JOB, mFixture.nowMs);
            assertThat(stops(mFixture.runRound())).hasSize(1);
        }

        /** Filling tasks must not keep the last place from tasks that serve users. */
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
        /** A worker without the label cannot run the task. */
        @Test
        void taskRunsOnlyOnWorkersWithItsLabel() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r2");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).label("r2").build());
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("w2");
            mFixture.submit("j2", BULK, step(1, 1, 1_000).label("other").build());
            assertThat(starts(mFixture.runRound())).isEmpty();
        }

        /** Away from its data a task takes three times as long. */
        @Test
        void taskRunsOnTheRackOfItsData() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r2");
            mFixture.submit("j1", URGENT, step(4, 2, 1_000).dataRack("r2").build());
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("w2");
        }

        /** A rack that no longer exists must not hold the task for ever. */
        @Test
        void taskRunsElsewhereIfItsDataRackIsGone() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).dataRack("gone").build());
            assertThat(starts(mFixture.runRound())).hasSize(1);
        }
    }

    @Nested
    class EndedJobs {
        /** Records that are never removed fill the store over the shifts. */
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
