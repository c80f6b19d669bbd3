package org.lycheeroad.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableRow;
import org.lycheeroad.state.table.WorkClass;
import org.lycheeroad.state.topology.WorkerInfo;

class GuaranteeTest {
    static TableRow row(String team, String... shapes) {
        List<Shape> guarantees = new ArrayList<>();
        for (String shape : shapes) {
            guarantees.add(Shape.parse(shape));
        }
        return new TableRow(
                new TeamId(team),
                WorkClass.GANG,
                new KindId("render"),
                SimulatedCluster.REGION,
                1,
                OptionalLong.empty(),
                guarantees,
                1_000);
    }

    static SimulatedCluster cluster(List<TableRow> rows, int[]... racks) {
        SimulatedCluster cluster = new SimulatedCluster(racks);
        cluster.mTable = new OperatorTable(1, rows);
        cluster.handle(new PlacementEvent.TableChanged(cluster.mTable));
        cluster.runFor(2_000);
        return cluster;
    }

    @Nested
    class Check {
        /** Guards against a check of totals only: 8 accelerators exist, but on no single worker. */
        @Test
        void rejectsShapeThatFitsOnlyByTotalCount() {
            List<WorkerInfo> workers =
                    List.of(
                            SimulatedCluster.worker("a", "r1", 4),
                            SimulatedCluster.worker("b", "r1", 4));
            assertThat(GuaranteeCheck.check(List.of(row("t", "1x8@worker")), workers)).hasSize(1);
            assertThat(GuaranteeCheck.check(List.of(row("t", "2x4@rack")), workers)).isEmpty();
        }
    }

    @Nested
    class Sharing {
        /**
         * Guards against guarantees kept as totals. Two gangs of 4 within b's guarantee, one on
         * each worker, would leave a its 8 of 16 accelerators, but stopping borrowers would not
         * free 8 on one worker.
         */
        @Test
        void gangsWithinGuaranteeDoNotFragmentAnotherGuarantee() {
            SimulatedCluster cluster =
                    cluster(
                            List.of(row("a", "1x8@worker"), row("b", "1x4@worker", "1x4@worker")),
                            new int[] {8, 8});
            cluster.submit("c1", "c", "1x4@worker");
            cluster.runFor(1_000);
            cluster.submit("b1", "b", "1x4@worker");
            cluster.runFor(1_000);
            cluster.submit("b2", "b", "1x4@worker");
            cluster.runFor(1_000);
            cluster.submit("a1", "a", "1x8@worker");
            cluster.runFor(6_000);
            assertThat(cluster.state("a1")).isEqualTo(JobState.RUNNING);
            assertThat(cluster.state("b1")).isEqualTo(JobState.RUNNING);
            assertThat(cluster.state("b2")).isEqualTo(JobState.RUNNING);
        }
    }

    @Nested
    class Reclaim {
        private final SimulatedCluster mCluster =
                cluster(List.of(row("a", "2x8@rack")), new int[] {8, 8}, new int[] {8, 8});

        private void fillWithBorrowers() {
            for (int i = 0; i < 8; i++) {
                mCluster.submit("b" + i, "b", "1x4@worker");
            }
            mCluster.runFor(4_000);
            assertThat(mCluster.mJobStates.values()).allMatch(s -> s == JobState.RUNNING);
        }

        /** Guards against urgent work that waits for borrowers that ignore CHECKPOINT. */
        @Test
        void urgentWorkStartsInTime() {
            fillWithBorrowers();
            long submittedAtMs = mCluster.mNowMs;
            mCluster.submit(SimulatedCluster.spec("u", "a", "2x8@rack", true));
            mCluster.runFor(8_600);
            assertThat(mCluster.startedAtMs("u") - submittedAtMs).isLessThanOrEqualTo(8_600);
        }

        /** Guards against a late start if a claimed worker dies during the grace period. */
        @Test
        void urgentWorkStartsInTimeWhenWorkerDies() {
            for (int deathDelayMs = 100; deathDelayMs <= 4_500; deathDelayMs += 400) {
                SimulatedCluster cluster =
                        cluster(List.of(row("a", "2x8@rack")), new int[] {8, 8}, new int[] {8, 8});
                for (int i = 0; i < 8; i++) {
                    cluster.submit("b" + i, "b", "1x4@worker");
                }
                cluster.runFor(4_000);
                long submittedAtMs = cluster.mNowMs;
                cluster.submit(SimulatedCluster.spec("u", "a", "2x8@rack", true));
                cluster.runFor(deathDelayMs);
                cluster.mWorkers.values().stream()
                        .filter(w -> cluster.mCore.isClaimed(w.mId))
                        .findFirst()
                        .ifPresent(w -> w.mAlive = false);
                cluster.runFor(8_600 - deathDelayMs);
                assertThat(cluster.startedAtMs("u") - submittedAtMs)
                        .as("worker dies after %s ms", deathDelayMs)
                        .isLessThanOrEqualTo(8_600);
            }
        }

        /** Guards against a reclaim that waits for a worker that runs but cannot be reached. */
        @Test
        void urgentWorkAvoidsUnreachableWorker() {
            fillWithBorrowers();
            long submittedAtMs = mCluster.mNowMs;
            mCluster.worker("w0-0").mPartitioned = true;
            mCluster.submit(SimulatedCluster.spec("u", "a", "2x8@rack", true));
            mCluster.runFor(8_600);
            assertThat(mCluster.startedAtMs("u") - submittedAtMs).isLessThanOrEqualTo(8_600);
        }

        /**
         * Guards against a grace period that is not shortened as claimed workers are lost in turn.
         */
        @Test
        void urgentWorkStartsInTimeWhenTwoWorkersAreCutOff() {
            int[] rack = {8, 8};
            SimulatedCluster cluster = cluster(List.of(row("a", "2x8@rack")), rack, rack, rack);
            for (int i = 0; i < 12; i++) {
                cluster.submit("b" + i, "b", "1x4@worker");
            }
            cluster.runFor(4_000);
            long submittedAtMs = cluster.mNowMs;
            cluster.submit(SimulatedCluster.spec("u", "a", "2x8@rack", true));
            for (int delayMs : List.of(2_900, 2_300)) {
                cluster.runFor(delayMs);
                cluster.mWorkers.values().stream()
                                .filter(w -> cluster.mCore.isClaimed(w.mId) && !w.mPartitioned)
                                .findFirst()
                                .orElseThrow()
                                .mPartitioned =
                        true;
            }
            cluster.runFor(3_400);
            assertThat(cluster.startedAtMs("u") - submittedAtMs).isLessThanOrEqualTo(8_600);
        }

        /** Guards against reclaimed borrowers that are not queued again. */
        @Test
        void borrowersRunAgainAfterwards() {
            fillWithBorrowers();
            mCluster.submit("a1", "a", "2x8@rack");
            mCluster.runFor(8_000);
            mCluster.finish("a1");
            mCluster.runFor(5_000);
            for (int i = 0; i < 8; i++) {
                assertThat(mCluster.state("b" + i)).isEqualTo(JobState.RUNNING);
            }
        }
    }
}
