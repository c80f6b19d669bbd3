package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import org.lycheeroad.state.shape.Adjacency;
import org.lycheeroad.state.shape.Shape;

/** Chooses workers for a shape so that whole workers and racks, or many workers, stay free. */
final class PackingPlanner {
    // Larger than the accelerators of any rack, so that cost comes before fit.
    private static final long COST_WEIGHT = 1L << 20;

    private record Candidate(WorkerState worker, int cost, int available) {}

    private PackingPlanner() {}

    /**
     * Returns one worker per member, or null when the shape does not fit.
     *
     * @param room accelerators that the gang may use on a worker
     * @param cost workers of lower cost come first
     * @param mostRoomFirst among workers of equal cost, whether the one with the most room comes
     *     first, otherwise the one with the least
     */
    static List<WorkerState> choose(
            TopologyIndex topology,
            Shape shape,
            ToIntFunction<WorkerState> room,
            ToIntFunction<WorkerState> cost,
            boolean mostRoomFirst) {
        if (shape.adjacency() != Adjacency.RACK) {
            List<Candidate> chosen =
                    bestFit(topology.listedWorkers(), shape, room, cost, mostRoomFirst);
            return chosen == null ? null : workers(chosen);
        }
        List<Candidate> best = null;
        long bestCost = Long.MAX_VALUE;
        for (List<WorkerState> rack : topology.racks()) {
            List<Candidate> chosen = bestFit(rack, shape, room, cost, mostRoomFirst);
            if (chosen != null) {
                long rest = (long) rack.stream().mapToInt(room).sum() - shape.accelerators();
                long total = chosen.stream().mapToLong(Candidate::cost).sum() * COST_WEIGHT + rest;
                if (total < bestCost) {
                    best = chosen;
                    bestCost = total;
                }
            }
        }
        return best == null ? null : workers(best);
    }

    private static List<Candidate> bestFit(
            List<WorkerState> workers,
            Shape shape,
            ToIntFunction<WorkerState> room,
            ToIntFunction<WorkerState> cost,
            boolean mostRoomFirst) {
        List<Candidate> fitting = new ArrayList<>();
        for (WorkerState worker : workers) {
            int free = room.applyAsInt(worker);
            if (free >= shape.acceleratorsPerWorker()) {
                fitting.add(new Candidate(worker, cost.applyAsInt(worker), free));
            }
        }
        if (fitting.size() < shape.workers()) {
            return null;
        }
        Comparator<Candidate> byRoom = Comparator.comparingInt(Candidate::available);
        fitting.sort(
                Comparator.comparingInt(Candidate::cost)
                        .thenComparing(mostRoomFirst ? byRoom.reversed() : byRoom));
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
