package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import org.lycheeroad.state.shape.Adjacency;
import org.lycheeroad.state.shape.Shape;

/** Chooses workers for a shape by best fit, or by worst fit if the caller asks for it. */
final class PackingPlanner {
    // Larger than the accelerators of any rack, so that a lower cost outweighs a better fit.
    private static final long COST_WEIGHT = 1L << 20;

    private record Candidate(WorkerState worker, int cost, int available) {}

    private PackingPlanner() {}

    /**
     * Returns one worker per member, or null if the shape does not fit.
     *
     * <p>A shape that must stay in one rack gets the rack of lowest total cost; among racks of
     * equal cost, the one with the fewest accelerators left, so that whole racks stay free.
     *
     * @param available accelerators that the gang may use on a worker
     * @param cost cost of using a worker; workers of lower cost are preferred
     * @param mostAvailableFirst whether, among workers of equal cost, the one with the most
     *     available accelerators is preferred (so that many workers stay usable) instead of the one
     *     with the fewest (so that whole workers stay free)
     */
    static List<WorkerState> choose(
            TopologyIndex topology,
            Shape shape,
            ToIntFunction<WorkerState> available,
            ToIntFunction<WorkerState> cost,
            boolean mostAvailableFirst) {
        if (shape.adjacency() != Adjacency.RACK) {
            List<Candidate> chosen =
                    chooseFrom(
                            topology.listedWorkers(), shape, available, cost, mostAvailableFirst);
            return chosen == null ? null : workers(chosen);
        }
        List<Candidate> best = null;
        long bestCost = Long.MAX_VALUE;
        for (List<WorkerState> rack : topology.racks()) {
            List<Candidate> chosen = chooseFrom(rack, shape, available, cost, mostAvailableFirst);
            if (chosen != null) {
                long remaining =
                        (long) rack.stream().mapToInt(available).sum() - shape.accelerators();
                long rackCost =
                        chosen.stream().mapToLong(Candidate::cost).sum() * COST_WEIGHT + remaining;
                if (rackCost < bestCost) {
                    best = chosen;
                    bestCost = rackCost;
                }
            }
        }
        return best == null ? null : workers(best);
    }

    private static List<Candidate> chooseFrom(
            List<WorkerState> workers,
            Shape shape,
            ToIntFunction<WorkerState> available,
            ToIntFunction<WorkerState> cost,
            boolean mostAvailableFirst) {
        List<Candidate> fitting = new ArrayList<>();
        for (WorkerState worker : workers) {
            int availableHere = available.applyAsInt(worker);
            if (availableHere >= shape.acceleratorsPerWorker()) {
                fitting.add(new Candidate(worker, cost.applyAsInt(worker), availableHere));
            }
        }
        if (fitting.size() < shape.workers()) {
            return null;
        }
        Comparator<Candidate> byAvailable = Comparator.comparingInt(Candidate::available);
        fitting.sort(
                Comparator.comparingInt(Candidate::cost)
                        .thenComparing(mostAvailableFirst ? byAvailable.reversed() : byAvailable));
        return fitting.subList(0, shape.workers());
    }

    private static List<WorkerState> workers(List<Candidate> candidates) {
        List<WorkerState> workers = new ArrayList<>(candidates.size());
        for (Candidate candidate : candidates) {
            workers.add(candidate.worker());
        }
        return workers;
    }
}
