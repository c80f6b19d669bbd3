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
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.WorkState;

/** Jobs at set times, jobs that last, and jobs that ask for a place. */
class KindsOfJobsTest {
    private static final JobId JOB = new JobId("j1");
    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    @Nested
    class AtSetTimes {
        private static final long INTERVAL_MS = 5_000;

        /** An occurrence before its time, or one that is left out, breaks the caller's plan. */
        @Test
        void eachOccurrenceStartsWhenItIsDue() {
            mFixture.addWorker("w1", "r1");
            submitTimes(3, mFixture.now + 1_000);
            assertThat(starts(mFixture.round())).isEmpty();
            mFixture.now += 1_000;
            assertThat(starts(mFixture.round()))
                    .extracting(s -> s.run().task().occurrence())
                    .containsExactly(0);
            mFixture.now += INTERVAL_MS - 1;
            assertThat(starts(mFixture.round())).isEmpty();
            mFixture.now += 1;
            assertThat(starts(mFixture.round()))
                    .extracting(s -> s.run().task().occurrence())
                    .containsExactly(1);
        }

        /** A job that is shown as completed before its last time is over is forgotten. */
        @Test
        void jobIsCompletedOnlyAfterItsLastOccurrence() {
            mFixture.addWorker("w1", "r1");
            submitTimes(2, mFixture.now);
            runToEnd(1);
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.ACTIVE);
            mFixture.now += INTERVAL_MS;
            runToEnd(2);
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.COMPLETED);
        }

        /** Occurrences that came due while no owner was there must still run. */
        @Test
        void missedOccurrencesAreMadeUpFor() {
            mFixture.addWorker("w1", "r1");
            submitTimes(3, mFixture.now - 2 * INTERVAL_MS);
            assertThat(starts(mFixture.round()))
                    .extracting(s -> s.run().task().occurrence())
                    .containsExactlyInAnyOrder(0, 1, 2);
        }

        private void submitTimes(int times, long startAtMs) {
            JobPlan plan =
                    new JobPlan(
                            "spec",
                            List.of(step(1, 1, 1_000).build()),
                            times,
                            startAtMs,
                            INTERVAL_MS);
            JobRecord record = new JobRecord(BULK, JobSchedulerFixture.TEAM, plan, 0);
            mScheduler.onJob(JOB, record, null, 0, mFixture.now);
        }

        private void runToEnd(int end) {
            List<JobAction> actions = mFixture.round();
            mFixture.accept(actions);
            assertThat(starts(actions)).hasSize(1);
            mFixture.report(
                    "w1", List.of(), List.of(ended(end, actions.get(0).run(), RunOutcome.DONE)));
            mFixture.saveAll();
        }
    }

    @Nested
    class LongRunning {
        /** However a lasting task ends, its users wait for it to come back. */
        @Test
        void taskIsStartedAgainHoweverItEnds() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).longRunning().build());
            int end = 1;
            for (RunOutcome how : RunOutcome.values()) {
                List<JobAction> actions = mFixture.round();
                mFixture.accept(actions);
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
            mFixture.accept(mFixture.round());
            mScheduler.onCancel(JOB, mFixture.now);
            assertThat(stops(mFixture.round())).hasSize(1);
        }

        /** Filling tasks must not keep the last place from tasks that serve users. */
        @Test
        void servingTaskStartsBesideFillingOnes() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("fill", BULK, step(4, 1, 60_000).fills().build());
            mFixture.accept(mFixture.round());
            mFixture.submit("j1", BULK, step(1, 1, 1_000).serves(100).build());
            assertThat(starts(mFixture.round())).hasSize(1);
        }
    }

    @Nested
    class Places {
        /** A worker without the label cannot run the task. */
        @Test
        void taskRunsOnlyOnWorkersWithItsLabel() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r2");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).label("r2").build());
            assertThat(workersOf(starts(mFixture.round()))).containsExactly("w2");
            mFixture.submit("j2", BULK, step(1, 1, 1_000).label("other").build());
            assertThat(starts(mFixture.round())).isEmpty();
        }

        /** Away from its data a task takes three times as long. */
        @Test
        void taskRunsWhereItsDataIs() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r2");
            mFixture.submit("j1", URGENT, step(4, 2, 1_000).dataRack("r2").build());
            assertThat(workersOf(starts(mFixture.round()))).containsExactly("w2");
        }

        /** A rack that no longer exists must not hold the task for ever. */
        @Test
        void taskWhoseRackIsGoneRunsElsewhere() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).dataRack("gone").build());
            assertThat(starts(mFixture.round())).hasSize(1);
        }
    }

    @Nested
    class Ended {
        /** Records that are never removed fill the store over the shifts. */
        @Test
        void endedJobExpiresOnceItNeedNotBeShown() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
            mScheduler.onCancel(JOB, mFixture.now);
            mFixture.saveAll();
            mFixture.now += JobSchedulerFixture.SETTINGS.statusKeepMs();
            assertThat(mScheduler.expiredJobs(mFixture.now)).isEmpty();
            mFixture.now += JobSchedulerFixture.SETTINGS.statusKeepMs() + 1;
            assertThat(mScheduler.expiredJobs(mFixture.now)).containsExactly(JOB);
            mScheduler.forgetEnded(JOB);
            assertThat(mScheduler.stateOf(JOB)).isEmpty();
        }
    }
}
