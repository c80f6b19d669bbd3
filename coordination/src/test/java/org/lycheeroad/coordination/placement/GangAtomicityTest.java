package org.lycheeroad.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.task.TaskState;

class GangAtomicityTest {
    private final SimulatedCluster mCluster =
            new SimulatedCluster(new int[] {8, 8, 8}, new int[] {8, 8});

    @Nested
    class WithoutFaults {
        /** Guards against a gang that does not get from reservation to start, or never ends. */
        @Test
        void gangRunsAndEnds() {
            mCluster.submit("j", "t", "3x8@rack");
            mCluster.runFor(3_000);
            assertThat(mCluster.runningMembers("j")).isEqualTo(3);
            assertThat(mCluster.state("j")).isEqualTo(JobState.RUNNING);
            mCluster.runFor(60_000);
            assertThat(mCluster.runningMembers("j")).isEqualTo(3);
            mCluster.finish("j");
            mCluster.runFor(3_000);
            assertThat(mCluster.state("j")).isEqualTo(JobState.DONE);
            assertThat(mCluster.mWorkers.values()).allMatch(w -> w.mTasks.isEmpty());
        }

        /** Guards against a queue that is not scheduled again when accelerators are released. */
        @Test
        void waitingGangStartsWhenAcceleratorsAreReleased() {
            mCluster.submit("a", "t", "3x8@rack");
            mCluster.runFor(2_000);
            mCluster.submit("b", "t", "3x5@rack");
            mCluster.runFor(5_000);
            assertThat(mCluster.state("b")).isEqualTo(JobState.QUEUED);
            mCluster.finish("a");
            mCluster.runFor(3_000);
            assertThat(mCluster.runningMembers("b")).isEqualTo(3);
        }

        /** Guards against queueing a job that no set of workers can ever hold. */
        @Test
        void infeasibleShapeIsNotRun() {
            mCluster.runFor(2_000);
            mCluster.submit("a", "t", "4x8@rack");
            assertThat(mCluster.state("a")).isEqualTo(JobState.NOT_RUN);
        }
    }

    @Nested
    class Cancel {
        /**
         * Guards against a job that has run but ends as not run, and against tasks left running.
         */
        @Test
        void runningJobEndsAsCancelled() {
            mCluster.runFor(2_000);
            mCluster.submit("j", "t", "2x8@rack");
            mCluster.runFor(2_000);
            mCluster.cancel("j");
            mCluster.runFor(1_000);
            assertThat(mCluster.state("j")).isEqualTo(JobState.CANCELLED);
            assertThat(mCluster.runningMembers("j")).isZero();
        }

        /** Guards against a START that is sent after the job was published as not run. */
        @Test
        void reservedJobEndsAsNotRun() {
            mCluster.runFor(2_000);
            mCluster.submit("j", "t", "2x8@rack");
            mCluster.cancel("j");
            mCluster.runFor(5_000);
            assertThat(mCluster.state("j")).isEqualTo(JobState.NOT_RUN);
            assertThat(mCluster.mStartedJobs).isEmpty();
        }
    }

    @Nested
    class LostMember {
        /** Guards against members that keep running after another member is lost. */
        @Test
        void allMembersStopAndGangRunsAgain() {
            mCluster.submit("j", "t", "2x8@any");
            mCluster.runFor(4_000);
            mCluster.mWorkers.values().stream()
                    .filter(w -> !w.mTasks.isEmpty())
                    .findFirst()
                    .orElseThrow()
                    .restart();
            Set<Integer> before = mCluster.runningAttempts("j");
            mCluster.runFor(1_200);
            assertThat(mCluster.runningAttempts("j")).doesNotContainAnyElementsOf(before);
            mCluster.runFor(3_000);
            assertThat(mCluster.runningMembers("j")).isEqualTo(2);
        }

        /** Guards against endless runs of a job that fails on every worker. */
        @Test
        void jobFailsAfterThreeRuns() {
            mCluster.submit("j", "t", "1x8@worker");
            for (int i = 0; i < 3; i++) {
                mCluster.runFor(4_000);
                assertThat(mCluster.runningMembers("j")).isEqualTo(1);
                mCluster.endRunningTasks("j", TaskState.FAILED);
            }
            mCluster.runFor(4_000);
            assertThat(mCluster.state("j")).isEqualTo(JobState.FAILED);
        }
    }

    @Nested
    class OwnerChange {
        /** Guards against a new owner that lets leases of adopted gangs expire or reruns them. */
        @Test
        void runningGangIsAdopted() {
            mCluster.submit("j", "t", "2x8@any");
            mCluster.runFor(4_000);
            mCluster.changeOwner();
            mCluster.runFor(20_000);
            assertThat(mCluster.runningMembers("j")).isEqualTo(2);
            mCluster.finish("j");
            mCluster.runFor(3_000);
            assertThat(mCluster.state("j")).isEqualTo(JobState.DONE);
        }
    }
}
