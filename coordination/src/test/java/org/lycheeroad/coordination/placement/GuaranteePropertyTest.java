package org.lycheeroad.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.placement.GuaranteeTest.cluster;
import static org.lycheeroad.coordination.placement.GuaranteeTest.row;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.lycheeroad.state.shape.Adjacency;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.table.TableRow;
import org.lycheeroad.state.topology.WorkerInfo;

/** Compares guarantees with an exhaustive search on small clusters. */
class GuaranteePropertyTest {
    /** Guards against a table check whose result differs from that of an exhaustive search. */
    @Property(seed = "41", tries = 400, shrinking = ShrinkingMode.OFF)
    void checkAgreesWithExhaustiveSearch(@ForAll long seed) {
        Random random = new Random(seed);
        List<WorkerInfo> workers = new ArrayList<>();
        int[] capacity = new int[2 + random.nextInt(4)];
        int[] rackOfWorker = new int[capacity.length];
        for (int i = 0; i < capacity.length; i++) {
            capacity[i] = 1 + random.nextInt(4);
            rackOfWorker[i] = random.nextInt(2);
            workers.add(SimulatedCluster.worker("w" + i, "r" + rackOfWorker[i], capacity[i]));
        }
        List<TableRow> rows = new ArrayList<>();
        List<Shape> shapes = new ArrayList<>();
        int count = 1 + random.nextInt(5);
        for (int i = 0; i < count; i++) {
            int acceleratorsPerWorker = 1 + random.nextInt(3);
            Adjacency adjacency =
                    List.of(Adjacency.WORKER, Adjacency.RACK, Adjacency.ANY).get(random.nextInt(3));
            Shape shape =
                    new Shape(
                            adjacency == Adjacency.WORKER ? 1 : 1 + random.nextInt(3),
                            acceleratorsPerWorker,
                            adjacency);
            shapes.add(shape);
            rows.add(row("t" + i, shape.toString()));
        }
        assertThat(GuaranteeCheck.check(rows, workers).isEmpty())
                .isEqualTo(ExhaustivePacking.fits(capacity, rackOfWorker, shapes));
    }

    /**
     * Guards against states in which stopping borrowers does not free the shapes of a team. The
     * reference packs all unused shapes by exhaustive search beside the gangs within a guarantee.
     */
    @Property(seed = "42", tries = 120, shrinking = ShrinkingMode.OFF)
    void guaranteedShapesCanAlwaysBeReclaimed(@ForAll long seed) {
        Random random = new Random(seed);
        List<TableRow> rows =
                List.of(
                        row("a", "2x2@rack", "1x4@worker"),
                        row("b", "1x2@worker", "1x2@worker"),
                        row("c", "2x1@any"));
        SimulatedCluster cluster = cluster(rows, new int[] {4, 4}, new int[] {4, 3});
        List<String> shapes = List.of("2x2@rack", "1x4@worker", "1x2@worker", "2x1@any");
        List<SimulatedWorker> workers = new ArrayList<>(cluster.mWorkers.values());
        int jobs = 0;
        for (int step = 0; step < 60; step++) {
            cluster.runFor(random.nextInt(2_000));
            String job = "j" + random.nextInt(Math.max(1, jobs));
            switch (random.nextInt(8)) {
                case 0, 1, 2, 3 ->
                        cluster.submit(
                                "j" + jobs++,
                                List.of("a", "b", "c", "d").get(random.nextInt(4)),
                                shapes.get(random.nextInt(shapes.size())));
                case 4 -> cluster.cancel(job);
                case 5 -> cluster.finish(job);
                case 6 -> workers.get(random.nextInt(workers.size())).restart();
                default -> cluster.changeOwner();
            }
            cluster.mCore.checkGuarantees();
            assertThat(cluster.mCore.canRebindUnusedCells(ExhaustivePacking::fits)).isTrue();
        }
    }
}
