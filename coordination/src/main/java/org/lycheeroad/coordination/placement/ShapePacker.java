package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lycheeroad.state.shape.Adjacency;
import org.lycheeroad.state.shape.Shape;

/**
 * Packs several shapes at once onto workers with given numbers of free accelerators.
 *
 * <p>The largest shapes are placed first by best fit, with backtracking over all other choices. The
 * search is exact up to a limit of steps; beyond it, shapes are reported as not fitting although
 * they may fit. A table check may thus reject a valid table but never accepts an invalid one.
 */
final class ShapePacker {
    /** Limit of steps in a check of a table; takes some hundred milliseconds. */
    static final long CHECK_MAX_STEPS = 20_000_000;

    /** Limit of steps in one decision of the placement owner. */
    static final long DECISION_MAX_STEPS = 1_000_000;

    private final int[] mFree;
    private final int[] mRackOfWorker;
    private final Shape[] mShapes;
    private final int[][] mAssignments;
    private long mStepsLeft;

    private ShapePacker(int[] free, int[] rackOfWorker, Shape[] shapes, long maxSteps) {
        mStepsLeft = maxSteps;
        mFree = free;
        mRackOfWorker = rackOfWorker;
        mShapes = shapes;
        mAssignments = new int[shapes.length][];
    }

    /**
     * Returns the indexes of the workers of each shape, or null if the shapes do not fit together.
     *
     * @param free free accelerators of each worker
     * @param rackOfWorker rack number of each worker
     * @param maxSteps limit of the search; examining one worker is one step
     */
    static int[][] pack(int[] free, int[] rackOfWorker, List<Shape> shapes, long maxSteps) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < shapes.size(); i++) {
            order.add(i);
        }
        order.sort(
                Comparator.comparingInt((Integer i) -> -shapes.get(i).acceleratorsPerWorker())
                        .thenComparing(i -> shapes.get(i).adjacency() != Adjacency.RACK)
                        .thenComparing(i -> -shapes.get(i).workers()));
        Shape[] sorted = order.stream().map(shapes::get).toArray(Shape[]::new);
        ShapePacker packer = new ShapePacker(free.clone(), rackOfWorker, sorted, maxSteps);
        for (int i = 0; i < sorted.length; i++) {
            packer.mAssignments[i] = new int[sorted[i].workers()];
        }
        if (!packer.assign(0, 0)) {
            return null;
        }
        int[][] assignments = new int[sorted.length][];
        for (int i = 0; i < sorted.length; i++) {
            assignments[order.get(i)] = packer.mAssignments[i];
        }
        return assignments;
    }

    private boolean assign(int shapeIndex, int member) {
        if (shapeIndex == mShapes.length) {
            return true;
        }
        Shape shape = mShapes[shapeIndex];
        if (member == shape.workers()) {
            return assign(shapeIndex + 1, 0);
        }
        int[] assignment = mAssignments[shapeIndex];
        mStepsLeft -= mFree.length;
        if (mStepsLeft < 0) {
            return false;
        }
        Set<Long> tried = new HashSet<>();
        for (int worker : candidates(shape, assignment, member)) {
            // Workers of one rack with equally many free accelerators are interchangeable.
            if (!tried.add(((long) mRackOfWorker[worker] << 32) | mFree[worker])) {
                continue;
            }
            mFree[worker] -= shape.acceleratorsPerWorker();
            assignment[member] = worker;
            if (assign(shapeIndex, member + 1)) {
                return true;
            }
            mFree[worker] += shape.acceleratorsPerWorker();
        }
        return false;
    }

    private List<Integer> candidates(Shape shape, int[] assignment, int member) {
        int acceleratorsPerWorker = shape.acceleratorsPerWorker();
        boolean inRack = shape.adjacency() == Adjacency.RACK;
        List<Integer> candidates = new ArrayList<>();
        for (int worker = 0; worker < mFree.length; worker++) {
            if (mFree[worker] >= acceleratorsPerWorker
                    && !contains(assignment, member, worker)
                    && (!inRack
                            || member == 0
                            || mRackOfWorker[worker] == mRackOfWorker[assignment[0]])) {
                candidates.add(worker);
            }
        }
        if (candidates.size() < shape.workers() - member) {
            return List.of();
        }
        candidates.sort(Comparator.comparingInt(worker -> mFree[worker]));
        return candidates;
    }

    private static boolean contains(int[] assignment, int length, int worker) {
        for (int i = 0; i < length; i++) {
            if (assignment[i] == worker) {
                return true;
            }
        }
        return false;
    }
}
