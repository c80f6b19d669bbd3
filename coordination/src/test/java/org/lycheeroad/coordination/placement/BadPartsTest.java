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

class BadPartsTest {
    private final ModelCluster mCluster = new ModelCluster(new int[] {4, 4}, new int[] {4, 4});

    private static PlacementEvent limit(long accelerators) {
        TableRow row =
                new TableRow(
                        new TeamId("t"),
                        WorkClass.GANG,
                        new KindId("render"),
                        ModelCluster.REGION,
                        1,
                        OptionalLong.of(accelerators),
                        List.of(),
                        1_000);
        return new PlacementEvent.TableChanged(new OperatorTable(1, List.of(row)));
    }

    @Nested
    class Workers {
        /** Guards against a worker that fails every task and draws all work to itself. */
        @Test
        void failingWorkerIsQuarantinedAndProbed() {
            ModelWorker bad = mCluster.worker("w0-0");
            int failures = 0;
            for (int i = 0; i < 40; i++) {
                mCluster.submit("j" + i, "t", "1x4@worker");
                mCluster.run(1_000);
                for (int job = 0; job <= i; job++) {
                    long before = failed(bad);
                    mCluster.setRunningOn(bad, "j" + job, TaskState.FAILED);
                    failures += (int) (failed(bad) - before);
                    mCluster.finish("j" + job);
                }
            }
            assertThat(failures).isBetween(2, 4);
            mCluster.run(600_000);
            mCluster.submit("later", "t", "1x4@worker");
            mCluster.submit("later2", "t", "1x4@worker");
            mCluster.submit("later3", "t", "1x4@worker");
            mCluster.submit("later4", "t", "1x4@worker");
            mCluster.run(3_000);
            assertThat(bad.mTasks).isNotEmpty();
        }

        /** Guards against good workers being blamed for a job that fails everywhere. */
        @Test
        void badJobsDoNotQuarantineGoodWorkers() {
            for (int i = 0; i < 12; i++) {
                mCluster.submit("bad" + i, "t", "1x4@worker");
                for (int run = 0; run < 4; run++) {
                    mCluster.run(3_000);
                    mCluster.setRunning("bad" + i, TaskState.FAILED);
                }
                mCluster.run(3_000);
                assertThat(mCluster.state("bad" + i)).isEqualTo(JobState.FAILED);
            }
            for (String worker : List.of("w0-0", "w0-1", "w1-0", "w1-1")) {
                assertThat(mCluster.mCore.isQuarantined(new WorkerId(worker))).isFalse();
            }
        }

        /** Guards against a job that loses an attempt because an idle worker is dead. */
        @Test
        void reservationOnADeadIdleWorkerIsRetriedElsewhere() {
            mCluster.run(2_000);
            mCluster.submit("first", "t", "1x4@worker");
            mCluster.run(1_000);
            ModelWorker chosen = workerOf("first");
            mCluster.finish("first");
            mCluster.run(2_000);
            chosen.mCut = true;
            mCluster.submit("second", "t", "1x4@worker");
            mCluster.run(mCluster.mSettings.maxUrgentStartMs());
            assertThat(mCluster.running("second")).isEqualTo(1);
            assertThat(workerOf("second")).isNotSameAs(chosen);
            assertThat(mCluster.runningAttempts("second"))
                    .allMatch(attempt -> AttemptNumber.runNumber(attempt) == 1);
        }

        private ModelWorker workerOf(String job) {
            return mCluster.mWorkers.values().stream()
                    .filter(worker -> worker.mTasks.keySet().toString().contains(job))
                    .findFirst()
                    .orElseThrow();
        }

        /** Guards against idle workers that count as dead between two of their rare reports. */
        @Test
        void idleWorkerTakesAGangAfterThreeSecondsWithoutAReport() {
            mCluster.run(2_000);
            mCluster.mWorkers.values().forEach(worker -> worker.mCut = true);
            mCluster.run(3_000);
            mCluster.mWorkers.values().forEach(worker -> worker.mCut = false);
            mCluster.submit("j", "t", "1x4@worker");
            mCluster.run(100);
            assertThat(mCluster.running("j")).isEqualTo(1);
        }

        private long failed(ModelWorker worker) {
            return worker.mTasks.values().stream()
                    .filter(task -> task.mState == TaskState.FAILED)
                    .count();
        }
    }

    @Nested
    class Limits {
        /** Guards against a team that takes more accelerators than its limit. */
        @Test
        void limitHoldsAndLargerShapesAreNotRun() {
            mCluster.handle(limit(6));
            mCluster.run(2_000);
            mCluster.submit("large", "t", "2x4@any");
            assertThat(mCluster.state("large")).isEqualTo(JobState.NOT_RUN);
            mCluster.submit("a", "t", "1x4@worker");
            mCluster.submit("b", "t", "1x4@worker");
            mCluster.submit("c", "t", "1x2@worker");
            mCluster.run(5_000);
            assertThat(mCluster.running("a")).isEqualTo(1);
            assertThat(mCluster.running("b")).isZero();
            assertThat(mCluster.running("c")).isEqualTo(1);
        }
    }

    @Nested
    class JobsThatCanNeverRun {
        /** Guards against a job that waits for ever after its team's limit was lowered. */
        @Test
        void endWhenTheLimitIsLowered() {
            mCluster.run(2_000);
            mCluster.submit("busy", "t", "4x3@any");
            mCluster.run(2_000);
            mCluster.submit("wide", "t", "2x4@any");
            mCluster.submit("narrow", "t", "1x4@worker");
            mCluster.handle(limit(6));
            mCluster.run(1_000);
            assertThat(mCluster.state("wide")).isEqualTo(JobState.NOT_RUN);
            assertThat(mCluster.state("narrow")).isEqualTo(JobState.QUEUED);
            assertThat(mCluster.state("busy")).isEqualTo(JobState.RUNNING);
        }

        /** Guards against a job that waits for ever for workers that left the list. */
        @Test
        void endWhenTheWorkersStayAway() {
            submitWideAndRemoveRack();
            mCluster.run(mCluster.mSettings.maxStartWaitMs() + 2_000);
            assertThat(mCluster.state("wide")).isEqualTo(JobState.NOT_RUN);
        }

        /** Guards against a job that ends because a rack is away for a short time. */
        @Test
        void waitWhileTheWorkersAreReplaced() {
            submitWideAndRemoveRack();
            mCluster.run(mCluster.mSettings.maxStartWaitMs() - 10_000);
            mCluster.handle(new PlacementEvent.WorkersChanged(mCluster.mInfos));
            mCluster.run(60_000);
            assertThat(mCluster.state("wide")).isEqualTo(JobState.QUEUED);
            mCluster.finish("busy");
            mCluster.run(5_000);
            assertThat(mCluster.state("wide")).isEqualTo(JobState.RUNNING);
        }

        private void submitWideAndRemoveRack() {
            mCluster.run(2_000);
            mCluster.handle(limit(16));
            mCluster.submit("busy", "t", "1x4@worker");
            mCluster.run(2_000);
            mCluster.submit("wide", "t", "4x4@any");
            mCluster.handle(new PlacementEvent.WorkersChanged(mCluster.mInfos.subList(0, 2)));
        }
    }

    @Nested
    class Starvation {
        /** Guards against a gang that waits from the beginning again because a member was lost. */
        @Test
        void lostMemberKeepsTheTimeWaited() {
            ModelCluster cluster = new ModelCluster(new int[] {4, 4, 4});
            cluster.run(2_000);
            cluster.submit("s0", "small", "1x4@worker");
            cluster.submit("s1", "small", "1x4@worker");
            cluster.run(2_000);
            cluster.submit("large", "big", "2x4@any");
            cluster.run(cluster.mSettings.claimAfterMs() + 5_000);
            cluster.finish("s0");
            cluster.run(5_000);
            assertThat(cluster.state("large")).isEqualTo(JobState.RUNNING);
            cluster.mWorkers.values().stream()
                            .filter(w -> w.mTasks.keySet().toString().contains("large"))
                            .findFirst()
                            .orElseThrow()
                            .mUp =
                    false;
            cluster.run(12_000);
            cluster.submit("later", "small", "1x4@worker");
            cluster.run(3_000);
            assertThat(cluster.state("later")).isEqualTo(JobState.QUEUED);
            cluster.finish("s1");
            cluster.run(5_000);
            assertThat(cluster.state("large")).isEqualTo(JobState.RUNNING);
        }

        /** Guards against two late gangs that stop each other in turn, so that neither starts. */
        @Test
        void lateGangsDoNotStopEachOtherInTurn() {
            String cell = "1x1@worker";
            ModelCluster cluster =
                    GuaranteeTest.cluster(
                            List.of(GuaranteeTest.row("owner", cell, cell, cell, cell, cell, cell)),
                            new int[] {1, 1, 1, 1, 1, 1, 1});
            for (int i = 0; i < 6; i++) {
                cluster.submit("o" + i, "owner", cell);
            }
            cluster.run(2_000);
            cluster.submit("other", "heavy", cell);
            cluster.run(2_000);
            assertThat(cluster.state("other")).isEqualTo(JobState.RUNNING);
            cluster.submit("wide", "heavy", "4x1@any");
            cluster.submit("narrow", "light", "2x1@any");
            cluster.run(cluster.mSettings.maxStartWaitMs());
            for (int i = 0; i < 5; i++) {
                cluster.finish("o" + i);
            }
            cluster.run(5_000);
            assertThat(List.of(cluster.state("wide"), cluster.state("narrow")))
                    .containsExactlyInAnyOrder(JobState.RUNNING, JobState.QUEUED);
            cluster.finish("narrow");
            cluster.finish("wide");
            cluster.run(5_000);
            assertThat(List.of(cluster.state("wide"), cluster.state("narrow")))
                    .containsExactlyInAnyOrder(JobState.RUNNING, JobState.DONE);
        }

        /** Guards against a large gang that takes the workers that another one needs. */
        @Test
        void largeGangsLeaveWorkersForEachOther() {
            int[] small = new int[24];
            Arrays.fill(small, 1);
            int[] wide = new int[8];
            Arrays.fill(wide, 4);
            ModelCluster cluster = new ModelCluster(small, wide);
            cluster.run(2_000);
            List<String> gangs = List.of("a", "b", "c");
            gangs.forEach(job -> cluster.submit(job, "t", "16x1@any"));
            cluster.run(5_000);
            assertThat(gangs).allMatch(job -> cluster.state(job) == JobState.RUNNING);
        }

        /** Guards against workers kept free behind a straggler while others are idle. */
        @Test
        void keepsTheWorkersThatAreFreeFirst() {
            for (String straggler : List.of("s0", "s1", "s2")) {
                ModelCluster cluster = new ModelCluster(new int[] {4, 4, 4});
                cluster.run(2_000);
                List<String> small = List.of("s0", "s1", "s2");
                small.forEach(job -> cluster.submit(job, "small", "1x4@worker"));
                cluster.run(2_000);
                cluster.submit("large", "big", "2x4@any");
                cluster.run(cluster.mSettings.claimAfterMs() + 5_000);
                small.stream().filter(job -> !job.equals(straggler)).forEach(cluster::finish);
                cluster.run(5_000);
                assertThat(cluster.state("large"))
                        .as("behind " + straggler)
                        .isEqualTo(JobState.RUNNING);
            }
        }

        /** Guards against a large gang that a stream of small ones pushes out for ever. */
        @Test
        void largeGangStartsWithinTheBoundDespiteSmallOnes() {
            mCluster.run(2_000);
            for (int i = 0; i < 40; i++) {
                mCluster.submit("s" + i, "small", "1x1@worker");
            }
            mCluster.run(3_000);
            long from = mCluster.mNow;
            mCluster.submit("large", "big", "4x4@any");
            long bound = mCluster.mSettings.maxStartWaitMs() + 10_000;
            for (int i = 40; mCluster.startOf("large") > mCluster.mNow; i++) {
                assertThat(mCluster.mNow - from).isLessThanOrEqualTo(bound);
                mCluster.submit("s" + i, "small", "1x1@worker");
                mCluster.run(5_000);
            }
        }

        /**
         * Guards against small gangs that push a large one over its bound, when declared times and
         * sizes are wrong by up to ten times either way and one run in ten is ten times longer.
         */
        @Test
        void largeGangStartsWithinTheBoundDespiteWrongDeclarations() {
            for (long seed = 1; seed <= 3; seed++) {
                startLargeAmongWrongDeclarations(new Random(seed));
            }
        }

        private void startLargeAmongWrongDeclarations(Random random) {
            int[] rack = new int[12];
            Arrays.fill(rack, 1);
            rack[0] = 8;
            ModelCluster cluster = new ModelCluster(rack, rack);
            cluster.run(2_000);
            Map<String, Long> runMs = new HashMap<>();
            long latest = Long.MAX_VALUE;
            for (int i = 0; cluster.startOf("large") > cluster.mNow; i++) {
                if (i == 40) {
                    latest = cluster.mNow + cluster.mSettings.maxStartWaitMs() + 10_000;
                    cluster.submit("large", "big", "16x1@any");
                }
                assertThat(cluster.mNow).isLessThanOrEqualTo(latest);
                long needMs = 20_000 + random.nextInt(200_000) * (i % 10 == 0 ? 10L : 1L);
                // A need of one or two accelerators, declared as up to ten times as many.
                int declared = Math.max(1, (int) ((1 + random.nextInt(2)) * error(random)));
                String shape = declared > 8 ? "8x1@any" : declared + "x1@any";
                JobSpec spec = ModelCluster.spec("s" + i, "t" + i % 3, shape, false);
                cluster.submit(
                        new JobSpec(
                                spec.id(),
                                spec.team(),
                                spec.kind(),
                                spec.region(),
                                spec.shape(),
                                false,
                                (long) (needMs * error(random)),
                                ""));
                runMs.put("s" + i, needMs);
                cluster.run(5_000);
                runMs.forEach(
                        (job, millis) -> {
                            if (cluster.mNow - cluster.startOf(job) >= millis) {
                                cluster.finish(job);
                            }
                        });
            }
        }

        private double error(Random random) {
            return Math.pow(10, 2 * random.nextDouble() - 1);
        }
    }
}
