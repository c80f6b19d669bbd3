package org.lycheeroad.coordination.placement;

import java.util.List;
import org.lycheeroad.state.shape.Adjacency;
import org.lycheeroad.state.shape.Shape;

/** Decides whether shapes fit by trying every placement; the reference for small clusters. */
final class ExhaustivePacking {
    private ExhaustivePacking() {}

    static boolean fits(int[] free, int[] rackOfWorker, List<Shape> shapes) {
        return fits(free.clone(), rackOfWorker, shapes, 0, 0, 0, -1);
    }

    /**
     * Places the remaining members of a shape, then the shapes after it.
     *
     * @param firstCandidate index of the first worker to try for the member
     * @param firstWorker worker of the shape's first member, or -1 if it is not placed yet
     */
    private static boolean fits(
            int[] free,
            int[] rackOfWorker,
            List<Shape> shapes,
            int shapeIndex,
            int member,
            int firstCandidate,
            int firstWorker) {
        if (shapeIndex == shapes.size()) {
            return true;
        }
        Shape shape = shapes.get(shapeIndex);
        if (member == shape.workers()) {
            return fits(free, rackOfWorker, shapes, shapeIndex + 1, 0, 0, -1);
        }
        for (int worker = firstCandidate; worker < free.length; worker++) {
            boolean rackMatches =
                    shape.adjacency() != Adjacency.RACK
                            || firstWorker < 0
                            || rackOfWorker[worker] == rackOfWorker[firstWorker];
            if (rackMatches && free[worker] >= shape.acceleratorsPerWorker()) {
                free[worker] -= shape.acceleratorsPerWorker();
                boolean fits =
                        fits(
                                free,
                                rackOfWorker,
                                shapes,
                                shapeIndex,
                                member + 1,
                                worker + 1,
                                firstWorker < 0 ? worker : firstWorker);
                free[worker] += shape.acceleratorsPerWorker();
                if (fits) {
                    return true;
                }
            }
        }
        return false;
    }
}
