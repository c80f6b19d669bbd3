package org.lycheeroad.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableRow;
import org.lycheeroad.state.table.WorkClass;
import org.lycheeroad.state.task.TaskState;

class FailuresAndLimitsTest {
    private final SimulatedCluster mCluster =
            new SimulatedCluster(new int[] {4, 4}, new int[] {4, 4});

    private static PlacementEvent tableWithLimit(long accelerators) {
        TableRow row =
                new TableRow(
                        new TeamId("t"),
                        WorkClass.GANG,
                        new KindId("render"),
                        SimulatedCluster.REGION,
                        1,
                        OptionalLong.of(accelerators),
                        List.of(),
                        1_000);
        return new PlacementEvent.TableChanged(new OperatorTable(1, List.of(row)));
    }

    @Nested
    class Workers {
        /**
         * Guards against a worker that fails every task and, being free again, gets the next one.
         */
        @Test
        void failingWorkerIsQuarantinedAndProbed() {
            SimulatedWorker faultyWorker = mCluster.worker("w0-0");
            int failures = 0;
            for (int i = 0; i < 40; i++) {
                mCluster.submit("j" + i, "t", "1x4@worker");
                mCluster.runFor(1_000);
                for (int job = 0; job <= i; job++) {
                    long failedBefore = countFailedTasks(faultyWorker);
                    mCluster.endRunningTasksOn(faultyWorker, "j" + job, TaskState.FAILED);
                    failures += (int) (countFailedTasks(faultyWorker) - failedBefore);
                    mCluster.finish("j" + job);
                }
            }
            assertThat(failures).isBetween(2, 4);
            mCluster.runFor(600_000);
            mCluster.submit("later", "t", "1x4@worker");
            mCluster.submit("later2", "t", "1x4@worker");
            mCluster.submit("later3", "t", "1x4@worker");
            mCluster.submit("later4", "t", "1x4@worker");
            mCluster.runFor(3_000);
            assertThat(faultyWorker.mTasks).isNotEmpty();
        }

        /** Guards against healthy workers in quarantine due to jobs that fail on every worker. */
        @Test
        void failingJobsDoNotQuarantineHealthyWorkers() {
            for (int i = 0; i < 12; i++) {
                mCluster.submit("bad" + i, "t", "1x4@worker");
                for (int run = 0; run < 4; run++) {
                    mCluster.runFor(3_000);
                    mCluster.endRunningTasks("bad" + i, TaskState.FAILED);
                }
                mCluster.runFor(3_000);
                assertThat(mCluster.state("bad" + i)).isEqualTo(JobState.FAILED);
            }
            for (String worker : List.of("w0-0", "w0-1", "w1-0", "w1-1")) {
                assertThat(mCluster.mCore.isQuarantined(new WorkerId(worker))).isFalse();
            }
        }

        /** Guards against counting a reservation on a dead idle worker as a failed run. */
        @Test
        void reservationOnDeadIdleWorkerIsRetriedOnAnotherWorker() {
            mCluster.runFor(2_000);
            mCluster.submit("first", "t", "1x4@worker");
            mCluster.runFor(1_000);
            SimulatedWorker chosen = workerOf("first");
            mCluster.finish("first");
            mCluster.runFor(2_000);
            chosen.mPartitioned = true;
            mCluster.submit("second", "t", "1x4@worker");
            mCluster.runFor(mCluster.mSettings.maxUrgentStartMs());
            assertThat(mCluster.runningMembers("second")).isEqualTo(1);
            assertThat(workerOf("second")).isNotSameAs(chosen);
            assertThat(mCluster.runningAttempts("second"))
                    .allMatch(attempt -> AttemptNumber.runNumber(attempt) == 1);
        }

        private SimulatedWorker workerOf(String job) {
            return mCluster.mWorkers.values().stream()
                    .filter(worker -> worker.mTasks.keySet().toString().contains(job))
                    .findFirst()
                    .orElseThrow();
        }

        /**
         * Guards against idle workers that count as lost between two of their infrequent reports.
         */
        @Test
        void idleWorkerAcceptsGangAfterThreeSecondsWithoutReport() {
            mCluster.runFor(2_000);
            mCluster.mWorkers.values().forEach(worker -> worker.mPartitioned = true);
            mCluster.runFor(3_000);
            mCluster.mWorkers.values().forEach(worker -> worker.mPartitioned = false);
            mCluster.submit("j", "t", "1x4@worker");
            mCluster.runFor(100);
            assertThat(mCluster.runningMembers("j")).isEqualTo(1);
        }

        private long countFailedTasks(SimulatedWorker worker) {
            return worker.mTasks.values().stream()
                    .filter(task -> task.mState == TaskState.FAILED)
                    .count();
        }
    }

    @Nested
    class Limits {
        /** Guards against a team that uses more accelerators than its limit. */
        @Test
        void limitIsEnforcedAndLargerShapesAreNotRun() {
            mCluster.handle(tableWithLimit(6));
            mCluster.runFor(2_000);
            mCluster.submit("large", "t", "2x4@any");
            assertThat(mCluster.state("large")).isEqualTo(JobState.NOT_RUN);
            mCluster.submit("a", "t", "1x4@worker");
            mCluster.submit("b", "t", "1x4@worker");
            mCluster.submit("c", "t", "1x2@worker");
            mCluster.runFor(5_000);
            assertThat(mCluster.runningMembers("a")).isEqualTo(1);
            assertThat(mCluster.runningMembers("b")).isZero();
            assertThat(mCluster.runningMembers("c")).isEqualTo(1);
        }
    }

    @Nested
    class JobsThatCanNeverRun {
        /** Guards against a job that waits forever after its team's limit was lowered. */
        @Test
        void endWhenLimitIsLowered() {
            mCluster.runFor(2_000);
            mCluster.submit("busy", "t", "4x3@any");
            mCluster.runFor(2_000);
            mCluster.submit("wide", "t", "2x4@any");
            mCluster.submit("narrow", "t", "1x4@worker");
            mCluster.handle(tableWithLimit(6));
            mCluster.runFor(1_000);
            assertThat(mCluster.state("wide")).isEqualTo(JobState.NOT_RUN);
            assertThat(mCluster.state("narrow")).isEqualTo(JobState.QUEUED);
            assertThat(mCluster.state("busy")).isEqualTo(JobState.RUNNING);
        }

        /** Guards against a job that waits forever for workers that have left the list. */
        @Test
        void endWhenWorkersDoNotReturn() {
            submitWideAndRemoveRack();
            mCluster.runFor(mCluster.mSettings.maxStartWaitMs() + 2_000);
            assertThat(mCluster.state("wide")).isEqualTo(JobState.NOT_RUN);
        }

        /** Guards against a job that ends because a rack left the list for a short time. */
        @Test
        void waitWhileWorkersAreReplaced() {
            submitWideAndRemoveRack();
            mCluster.runFor(mCluster.mSettings.maxStartWaitMs() - 10_000);
            mCluster.handle(new PlacementEvent.WorkersChanged(mCluster.mWorkerInfos));
            mCluster.runFor(60_000);
            assertThat(mCluster.state("wide")).isEqualTo(JobState.QUEUED);
            mCluster.finish("busy");
            mCluster.runFor(5_000);
            assertThat(mCluster.state("wide")).isEqualTo(JobState.RUNNING);
        }

        private void submitWideAndRemoveRack() {
            mCluster.runFor(2_000);
            mCluster.handle(tableWithLimit(16));
            mCluster.submit("busy", "t", "1x4@worker");
            mCluster.runFor(2_000);
            mCluster.submit("wide", "t", "4x4@any");
            mCluster.handle(new PlacementEvent.WorkersChanged(mCluster.mWorkerInfos.subList(0, 2)));
        }
    }

    @Nested
    class Starvation {
        /**
         * Guards against a gang that loses its wait time when it is requeued after a failed run.
         */
        @Test
        void gangKeepsItsWaitTimeAfterLosingAMember() {
            SimulatedCluster cluster = new SimulatedCluster(new int[] {4, 4, 4});
            cluster.runFor(2_000);
            cluster.submit("s0", "small", "1x4@worker");
            cluster.submit("s1", "small", "1x4@worker");
            cluster.runFor(2_000);
            cluster.submit("large", "big", "2x4@any");
            cluster.runFor(cluster.mSettings.claimAfterMs() + 5_000);
            cluster.finish("s0");
            cluster.runFor(5_000);
            assertThat(cluster.state("large")).isEqualTo(JobState.RUNNING);
            cluster.mWorkers.values().stream()
                            .filter(w -> w.mTasks.keySet().toString().contains("large"))
                            .findFirst()
                            .orElseThrow()
                            .mAlive =
                    false;
            cluster.runFor(12_000);
            cluster.submit("later", "small", "1x4@worker");
            cluster.runFor(3_000);
            assertThat(cluster.state("later")).isEqualTo(JobState.QUEUED);
            cluster.finish("s1");
            cluster.runFor(5_000);
            assertThat(cluster.state("large")).isEqualTo(JobState.RUNNING);
        }

        /** Guards against two long-waiting gangs that stop each other, so that neither starts. */
        @Test
        void longWaitingGangsDoNotStopEachOtherRepeatedly() {
            String cell = "1x1@worker";
            SimulatedCluster cluster =
                    GuaranteeTest.cluster(
                            List.of(GuaranteeTest.row("owner", cell, cell, cell, cell, cell, cell)),
                            new int[] {1, 1, 1, 1, 1, 1, 1});
            for (int i = 0; i < 6; i++) {
                cluster.submit("o" + i, "owner", cell);
            }
            cluster.runFor(2_000);
            cluster.submit("other", "heavy", cell);
            cluster.runFor(2_000);
            assertThat(cluster.state("other")).isEqualTo(JobState.RUNNING);
            cluster.submit("wide", "heavy", "4x1@any");
            cluster.submit("narrow", "light", "2x1@any");
            cluster.runFor(cluster.mSettings.maxStartWaitMs());
            for (int i = 0; i < 5; i++) {
                cluster.finish("o" + i);
            }
            cluster.runFor(5_000);
            assertThat(List.of(cluster.state("wide"), cluster.state("narrow")))
                    .containsExactlyInAnyOrder(JobState.RUNNING, JobState.QUEUED);
            cluster.finish("narrow");
            cluster.finish("wide");
            cluster.runFor(5_000);
            assertThat(List.of(cluster.state("wide"), cluster.state("narrow")))
                    .containsExactlyInAnyOrder(JobState.RUNNING, JobState.DONE);
        }

        /** Guards against a large gang that takes workers that another large gang needs. */
        @Test
        void largeGangsLeaveWorkersForEachOther() {
            int[] small = new int[24];
            Arrays.fill(small, 1);
            int[] wide = new int[8];
            Arrays.fill(wide, 4);
            SimulatedCluster cluster = new SimulatedCluster(small, wide);
            cluster.runFor(2_000);
            List<String> gangs = List.of("a", "b", "c");
            gangs.forEach(job -> cluster.submit(job, "t", "16x1@any"));
            cluster.runFor(5_000);
            assertThat(gangs).allMatch(job -> cluster.state(job) == JobState.RUNNING);
        }

        /** Guards against a claim on the worker of a straggler while other workers become free. */
        @Test
        void claimFollowsWorkersThatAreReleasedFirst() {
            for (String straggler : List.of("s0", "s1", "s2")) {
                SimulatedCluster cluster = new SimulatedCluster(new int[] {4, 4, 4});
                cluster.runFor(2_000);
                List<String> small = List.of("s0", "s1", "s2");
                small.forEach(job -> cluster.submit(job, "small", "1x4@worker"));
                cluster.runFor(2_000);
                cluster.submit("large", "big", "2x4@any");
                cluster.runFor(cluster.mSettings.claimAfterMs() + 5_000);
                small.stream().filter(job -> !job.equals(straggler)).forEach(cluster::finish);
                cluster.runFor(5_000);
                assertThat(cluster.state("large"))
                        .as("straggler %s", straggler)
                        .isEqualTo(JobState.RUNNING);
            }
        }

        /** Guards against a large gang that a stream of small gangs keeps from starting. */
        @Test
        void largeGangStartsWithinBoundDespiteSmallGangs() {
            mCluster.runFor(2_000);
            for (int i = 0; i < 40; i++) {
                mCluster.submit("s" + i, "small", "1x1@worker");
            }
            mCluster.runFor(3_000);
            long submittedAtMs = mCluster.mNowMs;
            mCluster.submit("large", "big", "4x4@any");
            long boundMs = mCluster.mSettings.maxStartWaitMs() + 10_000;
            for (int i = 40; mCluster.startedAtMs("large") > mCluster.mNowMs; i++) {
                assertThat(mCluster.mNowMs - submittedAtMs).isLessThanOrEqualTo(boundMs);
                mCluster.submit("s" + i, "small", "1x1@worker");
                mCluster.runFor(5_000);
            }
        }

        /**
         * Guards against small gangs that delay a large one beyond the bound, when declared run
         * times and sizes are wrong by up to ten times in either direction and one run in ten takes
         * ten times longer.
         */
        @Test
        void largeGangStartsWithinBoundDespiteWrongDeclarations() {
            for (long seed = 1; seed <= 3; seed++) {
                checkLargeGangStartsDespiteWrongDeclarations(new Random(seed));
            }
        }

        private void checkLargeGangStartsDespiteWrongDeclarations(Random random) {
            int[] rack = new int[12];
            Arrays.fill(rack, 1);
            rack[0] = 8;
            SimulatedCluster cluster = new SimulatedCluster(rack, rack);
            cluster.runFor(2_000);
            Map<String, Long> runTimesMs = new HashMap<>();
            long latestStartMs = Long.MAX_VALUE;
            for (int i = 0; cluster.startedAtMs("large") > cluster.mNowMs; i++) {
                if (i == 40) {
                    latestStartMs = cluster.mNowMs + cluster.mSettings.maxStartWaitMs() + 10_000;
                    cluster.submit("large", "big", "16x1@any");
                }
                assertThat(cluster.mNowMs).isLessThanOrEqualTo(latestStartMs);
                long actualRunMs = 20_000 + random.nextInt(200_000) * (i % 10 == 0 ? 10L : 1L);
                // The gang needs one or two accelerators but declares up to ten times as many.
                int declaredAccelerators =
                        Math.max(1, (int) ((1 + random.nextInt(2)) * randomErrorFactor(random)));
                String shape =
                        declaredAccelerators > 8 ? "8x1@any" : declaredAccelerators + "x1@any";
                JobSpec spec = SimulatedCluster.spec("s" + i, "t" + i % 3, shape, false);
                cluster.submit(
                        new JobSpec(
                                spec.id(),
                                spec.team(),
                                spec.kind(),
                                spec.region(),
                                spec.shape(),
                                false,
                                (long) (actualRunMs * randomErrorFactor(random)),
                                ""));
                runTimesMs.put("s" + i, actualRunMs);
                cluster.runFor(5_000);
                runTimesMs.forEach(
                        (job, jobRunMs) -> {
                            if (cluster.mNowMs - cluster.startedAtMs(job) >= jobRunMs) {
                                cluster.finish(job);
                            }
                        });
            }
        }

        private double randomErrorFactor(Random random) {
            return Math.pow(10, 2 * random.nextDouble() - 1);
        }
    }
}
