package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.groups.Tuple.tuple;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.QueueName;

/** Guards against steps that wait beside free workers without a record of what they wait for. */
class StallDetectorTest {
    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    private List<StalledStep> stalledAfter(long waitMs) {
        long endMs = mFixture.nowMs + waitMs;
        while (mFixture.nowMs < endMs) {
            mFixture.nowMs += 500;
            mFixture.runRound();
        }
        return mScheduler.takeStalledSteps();
    }

    @Nested
    class Stalled {
        @Test
        void workersAreCountedByWhatKeepsTheTaskOffThem() {
            mFixture.addWorkerEntry("w1", "r1");
            mFixture.addWorkerEntry("w2", "r1");
            mFixture.addWorker("w3", "r1");
            mScheduler.onWorkerUnresponsive(new WorkerId("w3"));
            mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
            List<StalledStep> stalled = stalledAfter(4_500);
            assertThat(stalled).hasSize(1);
            assertThat(stalled.get(0).cause()).isEqualTo("NOT_ANSWERED");
            assertThat(stalled.get(0).roomForTasks()).isEqualTo(24);
            assertThat(stalled.get(0).workers())
                    .isEqualTo(
                            Map.of(
                                    PlacementBarrier.NOT_ANSWERED, 2,
                                    PlacementBarrier.UNRESPONSIVE, 1));
        }

        @Test
        void missingServiceIsTheCause() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", new QueueName("dropped"), step(1, 1, 1_000).build());
            assertThat(stalledAfter(4_500)).extracting(StalledStep::cause).contains("NO_WORKERS");
        }

        @Test
        void runThatIsNotKnownToBeOverIsNamed() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
            JobAction.Start start = starts(mFixture.runRound()).get(0);
            mScheduler.onStartAnswer(
                    start.worker(), start.run(), OrderAnswer.UNKNOWN, mFixture.nowMs + 2_000);
            mScheduler.onWorkerUnresponsive(start.worker());
            List<StalledStep> stalled = stalledAfter(4_500);
            assertThat(stalled).extracting(StalledStep::cause).containsExactly("RUNS_NOT_OVER");
            assertThat(stalled.get(0).awaitedRuns())
                    .extracting(StalledStep.AwaitedRun::phase, StalledStep.AwaitedRun::worker)
                    .containsExactly(tuple("STOPPING", start.worker()));
        }

        @Test
        void stallIsRepeatedAfterTenSeconds() {
            mFixture.addWorkerEntry("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
            assertThat(stalledAfter(9_000)).hasSize(1);
            assertThat(stalledAfter(5_000)).hasSize(1);
        }
    }

    @Nested
    class NotStalled {
        @Test
        void stepWithoutRoomTwiceOverIsNotReported() {
            mFixture.addWorkerEntry("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 8, 1_000).build());
            assertThat(stalledAfter(9_000)).isEmpty();
        }

        @Test
        void runningStepIsNotReported() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, step(1, 1, 60_000).build());
            mFixture.acceptStarts(mFixture.runRound());
            assertThat(stalledAfter(3_000)).isEmpty();
        }
    }
}
