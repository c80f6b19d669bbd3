package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lycheeroad.state.shape.Adjacency;
import org.lycheeroad.state.shape.Shape;

/**
 * Finds places for several shapes at once on workers with given room.
 *
 * <p>The largest shapes are placed first by best fit, with backtracking over all other choices. The
 * search is exact until its limit; beyond it, shapes that might fit are reported as not fitting,
 * which refuses a table but never accepts a wrong one.
 */
final class ShapePacker {
    /** Looks at a worker that a table check may take, some hundred milliseconds. */
    static final long CHECK_MAX_STEPS = 20_000_000;

    /** Looks at a worker that one decision of the placement owner may take. */
    static final long DECISION_MAX_STEPS = 1_000_000;

    private final int[] mFree;
    private final int[] mRackOfWorker;
    private final Shape[] mShapes;
    private final int[][] mAssignments;
    private long mStepsLeft;

    private ShapePacker(int[] room, int[] rack, Shape[] shapes, long looks) {
        mStepsLeft = looks;
        mFree = room;
        mRackOfWorker = rack;
        mShapes = shapes;
        mAssignments = new int[shapes.length][];
    }

    /**
     * Returns the workers of each shape, or null when the shapes do not fit together.
     *
     * @param room accelerators free on each worker
     * @param rack rack number of each worker
     * @param looks bound on the work, as looks at a worker
     */
    static int[][] pack(int[] room, int[] rack, List<Shape> shapes, long looks) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < shapes.size(); i++) {
            order.add(i);
        }
        order.sort(
                Comparator.comparingInt((Integer i) -> -shapes.get(i).acceleratorsPerWorker())
                        .thenComparing(i -> shapes.get(i).adjacency() != Adjacency.RACK)
                        .thenComparing(i -> -shapes.get(i).workers()));
        Shape[] sorted = order.stream().map(shapes::get).toArray(Shape[]::new);
        ShapePacker packer = new ShapePacker(room.clone(), rack, sorted, looks);
        for (int i = 0; i < sorted.length; i++) {
            packer.mAssignments[i] = new int[sorted[i].workers()];
        }
        if (!packer.assign(0, 0)) {
            return null;
        }
        int[][] places = new int[sorted.length][];
        for (int i = 0; i < sorted.length; i++) {
            places[order.get(i)] = packer.mAssignments[i];
        }
        return places;
    }

    private boolean assign(int shapeIndex, int member) {
        if (shapeIndex == mShapes.length) {
            return true;
        }
        Shape shape = mShapes[shapeIndex];
        if (member == shape.workers()) {
            return assign(shapeIndex + 1, 0);
        }
        int[] places = mAssignments[shapeIndex];
        mStepsLeft -= mFree.length;
        if (mStepsLeft < 0) {
            return false;
        }
        Set<Long> tried = new HashSet<>();
        for (int worker : candidates(shape, places, member)) {
            // Workers of one rack with equal room are interchangeable.
            if (!tried.add(((long) mRackOfWorker[worker] << 32) | mFree[worker])) {
                continue;
            }
            mFree[worker] -= shape.acceleratorsPerWorker();
            places[member] = worker;
            if (assign(shapeIndex, member + 1)) {
                return true;
            }
            mFree[worker] += shape.acceleratorsPerWorker();
        }
        return false;
    }

    private List<Integer> candidates(Shape shape, int[] places, int member) {
        int count = shape.acceleratorsPerWorker();
        boolean inRack = shape.adjacency() == Adjacency.RACK;
        List<Integer> list = new ArrayList<>();
        for (int worker = 0; worker < mFree.length; worker++) {
            if (mFree[worker] >= count
                    && !contains(places, member, worker)
                    && (!inRack
                            || member == 0
                            || mRackOfWorker[worker] == mRackOfWorker[places[0]])) {
                list.add(worker);
            }
        }
        if (list.size() < shape.workers() - member) {
            return List.of();
        }
        list.sort(Comparator.comparingInt(worker -> mFree[worker]));
        return list;
    }

    private static boolean contains(int[] places, int length, int worker) {
        for (int i = 0; i < length; i++) {
            if (places[i] == worker) {
                return true;
            }
        }
        return false;
    }
}
