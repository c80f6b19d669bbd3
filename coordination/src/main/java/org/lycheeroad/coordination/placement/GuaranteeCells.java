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
 * Binds every guaranteed shape to workers, so that stopping borrowers alone restores any guarantee.
 *
 * <p>A cell is one guaranteed shape of one team, bound to workers. Two invariants hold on each
 * worker: the cells together do not exceed its accelerators, and the gangs that run within a team's
 * guarantee do not use more than that team's cells. Every other gang is a borrower, so stopping
 * borrowers always frees the unused part of a team's cells. Unused cells may move to other workers;
 * used ones stay.
 */
final class GuaranteeCells {
    /** A guaranteed shape; its workers are null while it is not bound. */
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

    /** Replaces the guarantees; a shape that the team had before keeps its cell. */
    void setGuarantees(Map<TeamId, List<Shape>> guarantees) {
        List<Cell> removed = new ArrayList<>(mCells);
        List<Cell> cells = new ArrayList<>();
        guarantees.forEach(
                (team, shapes) -> {
                    for (Shape shape : shapes) {
                        Cell kept = null;
                        for (Cell cell : removed) {
                            if (cell.mTeam.equals(team) && cell.mShape.equals(shape)) {
                                kept = cell;
                            }
                        }
                        removed.remove(kept);
                        cells.add(kept == null ? new Cell(team, shape) : kept);
                    }
                });
        removed.forEach(this::unbind);
        mCells = List.copyOf(cells);
        for (WorkerState worker : mTopology.knownWorkers()) {
            demoteExcess(worker);
        }
    }

    /** Removes all bindings, for example when a new owner starts. */
    void unbindAll() {
        mCells.forEach(this::unbind);
    }

    /**
     * Moves cells off unhealthy workers and binds cells that are not bound.
     *
     * <p>A used cell is moved only when one of its workers has left the list.
     */
    void rebind() {
        for (Cell cell : mCells) {
            if (cell.mWorkers != null && !hasHealthyWorkers(cell)) {
                boolean listed = cell.mWorkers.stream().allMatch(w -> w.mInfo != null);
                List<WorkerState> previous = cell.mWorkers;
                if (isUnused(cell) || !listed) {
                    unbind(cell);
                    if (!bindIfRoom(cell) && listed) {
                        bind(cell, previous);
                    }
                }
            }
        }
        boolean allBound = true;
        for (Cell cell : mCells) {
            allBound &= cell.mWorkers != null || bindIfRoom(cell);
        }
        if (!allBound) {
            repack();
        }
        for (WorkerState worker : mTopology.knownWorkers()) {
            demoteExcess(worker);
        }
    }

    /** Returns the accelerators of the team's cells on a worker that its gangs do not use yet. */
    int unusedAccelerators(WorkerState worker, TeamId team) {
        return worker.cellAccelerators(team) - worker.usedWithinGuarantee(team);
    }

    /** Returns the accelerators of all cells that no gang uses or claims within a guarantee. */
    int idleAccelerators(WorkerState worker) {
        int idle = 0;
        for (TeamId team : worker.mCellAcceleratorsByTeam.keySet()) {
            idle += Math.max(0, unusedAccelerators(worker, team));
        }
        return idle;
    }

    /**
     * Moves an unused cell of exactly the job's shape to workers with enough free accelerators.
     *
     * @return the workers of the moved cell, or null if there is no such cell or it fits nowhere
     */
    List<WorkerState> moveUnusedCell(JobSpec spec, Predicate<WorkerState> usable) {
        for (Cell cell : mCells) {
            if (!cell.mTeam.equals(spec.team())
                    || !cell.mShape.equals(spec.shape())
                    || cell.mWorkers == null
                    || !isUnused(cell)) {
                continue;
            }
            List<WorkerState> previous = cell.mWorkers;
            unbind(cell);
            List<WorkerState> freeWorkers =
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
            bind(cell, freeWorkers == null ? previous : freeWorkers);
            return freeWorkers;
        }
        return null;
    }

    /** Marks a borrower as running within its team's guarantee if unused cells cover it. */
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

    /**
     * Checks the invariants of this class.
     *
     * @throws IllegalStateException if one is violated
     */
    void checkInvariants() {
        for (WorkerState worker : mTopology.listedWorkers()) {
            if (worker.totalCellAccelerators() > worker.capacity()) {
                throw new IllegalStateException(
                        "cells exceed the capacity of worker " + worker.mId);
            }
            for (GangMember member : worker.mMembers) {
                TeamId team = member.mGang.mSpec.team();
                if (member.mGang.mWithinGuarantee && unusedAccelerators(worker, team) < 0) {
                    throw new IllegalStateException(
                            "gangs of team " + team + " exceed its cells on worker " + worker.mId);
                }
            }
        }
    }

    /** Decides whether shapes fit on workers with the given free accelerators and racks. */
    interface PackingSearch {
        boolean fits(int[] free, int[] rackOfWorker, List<Shape> shapes);
    }

    /** Returns whether all unused cells fit beside the gangs that run within a guarantee. */
    boolean canRebindUnusedCells(PackingSearch search) {
        List<WorkerState> workers = mTopology.listedWorkers();
        int[] rackOfWorker = rackNumbers(workers);
        int[] free = new int[workers.size()];
        for (int i = 0; i < free.length; i++) {
            free[i] = workers.get(i).capacity();
            for (GangMember member : workers.get(i).mMembers) {
                if (member.mGang.mWithinGuarantee) {
                    free[i] -= Long.bitCount(member.mAcceleratorMask);
                }
            }
        }
        List<Shape> unusedShapes = new ArrayList<>();
        Map<Cell, List<WorkerState>> bindings = new HashMap<>();
        for (Cell cell : mCells) {
            if (cell.mWorkers == null || isUnused(cell)) {
                unusedShapes.add(cell.mShape);
                if (cell.mWorkers != null) {
                    bindings.put(cell, cell.mWorkers);
                    unbind(cell);
                }
            }
        }
        bindings.forEach(this::bind);
        return search.fits(free, rackOfWorker, unusedShapes);
    }

    private static int[] rackNumbers(List<WorkerState> workers) {
        Map<RackId, Integer> numbers = new HashMap<>();
        return workers.stream()
                .mapToInt(w -> numbers.computeIfAbsent(w.mInfo.rack(), r -> numbers.size()))
                .toArray();
    }

    /** Binds a cell to workers that have room beside the other cells; returns whether it fits. */
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

    /** Binds all unused cells anew; restores the old bindings if no packing is found. */
    private void repack() {
        List<Cell> movable = new ArrayList<>();
        List<List<WorkerState>> previous = new ArrayList<>();
        for (Cell cell : mCells) {
            if (cell.mWorkers == null || isUnused(cell)) {
                movable.add(cell);
                previous.add(cell.mWorkers);
                unbind(cell);
            }
        }
        List<WorkerState> workers = mTopology.listedWorkers();
        int[] free =
                workers.stream()
                        .mapToInt(w -> w.isHealthy() ? unboundAccelerators(w) : 0)
                        .toArray();
        int[] rackOfWorker = rackNumbers(workers);
        int[][] assignments =
                ShapePacker.pack(
                        free,
                        rackOfWorker,
                        movable.stream().map(cell -> cell.mShape).toList(),
                        ShapePacker.DECISION_MAX_STEPS);
        for (int i = 0; i < movable.size(); i++) {
            if (assignments != null) {
                List<WorkerState> chosen = new ArrayList<>();
                for (int workerIndex : assignments[i]) {
                    chosen.add(workers.get(workerIndex));
                }
                bind(movable.get(i), chosen);
            } else if (previous.get(i) != null) {
                bind(movable.get(i), previous.get(i));
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

    /** Turns gangs on the worker into borrowers while their team exceeds its cells there. */
    private void demoteExcess(WorkerState worker) {
        for (GangMember member : worker.mMembers) {
            Gang gang = member.mGang;
            if (gang.mWithinGuarantee && unusedAccelerators(worker, gang.mSpec.team()) < 0) {
                gang.mWithinGuarantee = false;
            }
        }
    }
}
