package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.shape.Shape;

/**
 * Binds every guaranteed shape to workers and keeps the guarantees rebuildable.
 *
 * <p>A cell is one shape of one team bound to workers. On each worker, the cells together never
 * exceed its accelerators, and the gangs that run within a team's guarantee never hold more than
 * that team's cells. Every other gang is a borrower, so stopping borrowers alone always frees what
 * a team lacks of its cells. An unused cell may move; a used one stays.
 */
final class GuaranteeCells {
    /** One guaranteed shape; its workers are null while it fits nowhere. */
    static final class Cell {
        final TeamId mTeam;
        final Shape mShape;
        List<WorkerState> mWorkers;

        Cell(TeamId team, Shape shape) {
            mTeam = team;
            mShape = shape;
        }
    }

    private final TopologyIndex mTopology;
    private List<Cell> mCells = List.of();

    GuaranteeCells(TopologyIndex topology) {
        mTopology = topology;
    }

    List<Cell> cells() {
        return mCells;
    }

    /** Replaces the guarantees; cells of shapes that stay keep their workers. */
    void setGuarantees(Map<TeamId, List<Shape>> guarantees) {
        List<Cell> old = new ArrayList<>(mCells);
        List<Cell> cells = new ArrayList<>();
        guarantees.forEach(
                (team, shapes) -> {
                    for (Shape shape : shapes) {
                        Cell same = null;
                        for (Cell cell : old) {
                            if (cell.mTeam.equals(team) && cell.mShape.equals(shape)) {
                                same = cell;
                            }
                        }
                        old.remove(same);
                        cells.add(same == null ? new Cell(team, shape) : same);
                    }
                });
        old.forEach(this::unbind);
        mCells = List.copyOf(cells);
        for (WorkerState worker : mTopology.knownWorkers()) {
            demoteExcess(worker);
        }
    }

    /** Forgets all bindings, for example when a new owner starts. */
    void unbindAll() {
        mCells.forEach(this::unbind);
    }

    /** Moves unused cells off workers that cannot serve them and binds cells that have no place. */
    void rebind() {
        for (Cell cell : mCells) {
            if (cell.mWorkers != null && !hasHealthyWorkers(cell)) {
                boolean listed = cell.mWorkers.stream().allMatch(w -> w.mInfo != null);
                List<WorkerState> before = cell.mWorkers;
                if (isUnused(cell) || !listed) {
                    unbind(cell);
                    if (!bindIfRoom(cell) && listed) {
                        bind(cell, before);
                    }
                }
            }
        }
        boolean complete = true;
        for (Cell cell : mCells) {
            complete &= cell.mWorkers != null || bindIfRoom(cell);
        }
        if (!complete) {
            repack();
        }
        for (WorkerState worker : mTopology.knownWorkers()) {
            demoteExcess(worker);
        }
    }

    /** Returns what the team may still use of its cells on a worker. */
    int unusedAccelerators(WorkerState worker, TeamId team) {
        return worker.cellAccelerators(team) - worker.usedWithinGuarantee(team);
    }

    /** Returns the accelerators of cells that no gang within its guarantee uses or claims. */
    int idleAccelerators(WorkerState worker) {
        int idle = 0;
        for (TeamId team : worker.mCellAcceleratorsByTeam.keySet()) {
            idle += Math.max(0, unusedAccelerators(worker, team));
        }
        return idle;
    }

    /**
     * Moves an unused cell of exactly the job's shape to workers that are free now.
     *
     * @return the workers of the moved cell, or null when there is no such cell or room
     */
    List<WorkerState> moveUnusedCell(JobSpec spec, Predicate<WorkerState> usable) {
        for (Cell cell : mCells) {
            if (!cell.mTeam.equals(spec.team())
                    || !cell.mShape.equals(spec.shape())
                    || cell.mWorkers == null
                    || !isUnused(cell)) {
                continue;
            }
            List<WorkerState> before = cell.mWorkers;
            unbind(cell);
            List<WorkerState> free =
                    PackingPlanner.choose(
                            mTopology,
                            spec.shape(),
                            worker ->
                                    usable.test(worker)
                                            ? Math.min(
                                                    unboundAccelerators(worker),
                                                    worker.free()
                                                            - worker.claimedAccelerators(true))
                                            : 0,
                            worker -> worker.claimedAccelerators(false),
                            false);
            bind(cell, free == null ? before : free);
            return free;
        }
        return null;
    }

    /** Marks a borrower as running within its team's guarantee when unused cells cover it. */
    void promote(Gang gang) {
        if (gang.mWithinGuarantee || gang.mMembers.isEmpty()) {
            return;
        }
        int count = gang.mSpec.shape().acceleratorsPerWorker();
        for (GangMember member : gang.mMembers) {
            if (unusedAccelerators(member.mWorker, gang.mSpec.team()) < count) {
                return;
            }
        }
        gang.mWithinGuarantee = true;
    }

    /** Checks the two bounds named above. */
    void checkInvariants() {
        for (WorkerState worker : mTopology.listedWorkers()) {
            if (worker.totalCellAccelerators() > worker.capacity()) {
                throw new IllegalStateException("cells exceed the worker " + worker.mId);
            }
            for (GangMember member : worker.mMembers) {
                TeamId team = member.mGang.mSpec.team();
                if (member.mGang.mWithinGuarantee && unusedAccelerators(worker, team) < 0) {
                    throw new IllegalStateException(team + " exceeds its cells on " + worker.mId);
                }
            }
        }
    }

    /** Decides whether shapes fit on workers with the given room and rack numbers. */
    interface PackingSearch {
        boolean fits(int[] room, int[] rack, List<Shape> shapes);
    }

    /** Searches room for all unused cells beside the gangs that run within a guarantee. */
    boolean canRebindUnusedCells(PackingSearch search) {
        List<WorkerState> workers = mTopology.listedWorkers();
        int[] rack = rackNumbers(workers);
        int[] room = new int[workers.size()];
        for (int i = 0; i < room.length; i++) {
            room[i] = workers.get(i).capacity();
            for (GangMember member : workers.get(i).mMembers) {
                if (member.mGang.mWithinGuarantee) {
                    room[i] -= Long.bitCount(member.mAcceleratorMask);
                }
            }
        }
        List<Shape> unusedShapes = new ArrayList<>();
        Map<Cell, List<WorkerState>> taken = new HashMap<>();
        for (Cell cell : mCells) {
            if (cell.mWorkers == null || isUnused(cell)) {
                unusedShapes.add(cell.mShape);
                if (cell.mWorkers != null) {
                    taken.put(cell, cell.mWorkers);
                    unbind(cell);
                }
            }
        }
        taken.forEach(this::bind);
        return search.fits(room, rack, unusedShapes);
    }

    private static int[] rackNumbers(List<WorkerState> workers) {
        Map<RackId, Integer> numbers = new HashMap<>();
        return workers.stream()
                .mapToInt(w -> numbers.computeIfAbsent(w.mInfo.rack(), r -> numbers.size()))
                .toArray();
    }

    private boolean bindIfRoom(Cell cell) {
        List<WorkerState> workers =
                PackingPlanner.choose(
                        mTopology,
                        cell.mShape,
                        worker -> worker.isHealthy() ? unboundAccelerators(worker) : 0,
                        worker -> -worker.allocatedTo(cell.mTeam),
                        false);
        if (workers != null) {
            bind(cell, workers);
        }
        return workers != null;
    }

    /** Places all unused cells anew; keeps the bindings when that does not fit either. */
    private void repack() {
        List<Cell> movable = new ArrayList<>();
        List<List<WorkerState>> before = new ArrayList<>();
        for (Cell cell : mCells) {
            if (cell.mWorkers == null || isUnused(cell)) {
                movable.add(cell);
                before.add(cell.mWorkers);
                unbind(cell);
            }
        }
        List<WorkerState> workers = mTopology.listedWorkers();
        int[] room =
                workers.stream()
                        .mapToInt(w -> w.isHealthy() ? unboundAccelerators(w) : 0)
                        .toArray();
        int[] rack = rackNumbers(workers);
        int[][] places =
                ShapePacker.pack(
                        room,
                        rack,
                        movable.stream().map(cell -> cell.mShape).toList(),
                        ShapePacker.DECISION_MAX_STEPS);
        for (int i = 0; i < movable.size(); i++) {
            if (places != null) {
                List<WorkerState> chosen = new ArrayList<>();
                for (int place : places[i]) {
                    chosen.add(workers.get(place));
                }
                bind(movable.get(i), chosen);
            } else if (before.get(i) != null) {
                bind(movable.get(i), before.get(i));
            }
        }
    }

    private static int unboundAccelerators(WorkerState worker) {
        return worker.capacity() - worker.totalCellAccelerators();
    }

    private static boolean hasHealthyWorkers(Cell cell) {
        return cell.mWorkers.stream()
                .allMatch(w -> w.isHealthy() && w.totalCellAccelerators() <= w.capacity());
    }

    private boolean isUnused(Cell cell) {
        return cell.mWorkers.stream()
                .allMatch(
                        worker ->
                                unusedAccelerators(worker, cell.mTeam)
                                        >= cell.mShape.acceleratorsPerWorker());
    }

    private void bind(Cell cell, List<WorkerState> workers) {
        cell.mWorkers = List.copyOf(workers);
        for (WorkerState worker : workers) {
            worker.addCellAccelerators(cell.mTeam, cell.mShape.acceleratorsPerWorker());
        }
    }

    private void unbind(Cell cell) {
        if (cell.mWorkers != null) {
            for (WorkerState worker : cell.mWorkers) {
                worker.addCellAccelerators(cell.mTeam, -cell.mShape.acceleratorsPerWorker());
            }
            cell.mWorkers = null;
        }
    }

    /** Turns gangs into borrowers whose guarantee was taken away. */
    private void demoteExcess(WorkerState worker) {
        for (GangMember member : worker.mMembers) {
            Gang gang = member.mGang;
            if (gang.mWithinGuarantee && unusedAccelerators(worker, gang.mSpec.team()) < 0) {
                gang.mWithinGuarantee = false;
            }
        }
    }
}
