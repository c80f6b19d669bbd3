package org.lycheeroad.coordination.placement;

import java.util.List;
import org.lycheeroad.state.shape.Adjacency;
import org.lycheeroad.state.shape.Shape;

/** Tries every placement; the reference for small trees. */
final class ExhaustivePacking {
    private ExhaustivePacking() {}

    static boolean fits(int[] room, int[] rack, List<Shape> shapes) {
        return fits(room.clone(), rack, shapes, 0, 0, 0, -1);
    }

    private static boolean fits(
            int[] room, int[] rack, List<Shape> shapes, int at, int member, int from, int first) {
        if (at == shapes.size()) {
            return true;
        }
        Shape shape = shapes.get(at);
        if (member == shape.workers()) {
            return fits(room, rack, shapes, at + 1, 0, 0, -1);
        }
        for (int i = from; i < room.length; i++) {
            boolean near =
                    shape.adjacency() != Adjacency.RACK || first < 0 || rack[i] == rack[first];
            if (near && room[i] >= shape.acceleratorsPerWorker()) {
                room[i] -= shape.acceleratorsPerWorker();
                boolean fits =
                        fits(room, rack, shapes, at, member + 1, i + 1, first < 0 ? i : first);
                room[i] += shape.acceleratorsPerWorker();
                if (fits) {
                    return true;
                }
            }
        }
        return false;
    }
}
