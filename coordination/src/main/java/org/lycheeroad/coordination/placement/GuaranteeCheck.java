package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.table.TableProblem;
import org.lycheeroad.state.table.TableRow;
import org.lycheeroad.state.table.WorkClass;
import org.lycheeroad.state.topology.WorkerInfo;

/** Checks that all guaranteed shapes of a region fit on its workers at the same time. */
public final class GuaranteeCheck {
    private static final String COLUMN = "guarantee";

    private GuaranteeCheck() {}

    /**
     * Returns one problem for each row whose shapes do not fit beside those of the accepted rows
     * above it.
     *
     * @param workers the healthy workers of all regions
     */
    public static List<TableProblem> check(List<TableRow> rows, List<WorkerInfo> workers) {
        List<TableProblem> problems = new ArrayList<>();
        rows.stream()
                .filter(row -> row.work() == WorkClass.GANG && !row.guarantees().isEmpty())
                .map(TableRow::region)
                .distinct()
                .forEach(region -> checkRegion(region, rows, workers, problems));
        problems.sort((a, b) -> Integer.compare(a.row(), b.row()));
        return problems;
    }

    private static void checkRegion(
            RegionId region,
            List<TableRow> rows,
            List<WorkerInfo> workers,
            List<TableProblem> problems) {
        List<WorkerInfo> regionWorkers =
                workers.stream().filter(worker -> worker.region().equals(region)).toList();
        int[] free =
                regionWorkers.stream()
                        .mapToInt(w -> Math.min(w.accelerators(), WorkerState.MAX_ACCELERATORS))
                        .toArray();
        Map<RackId, Integer> rackNumbers = new HashMap<>();
        int[] rackOfWorker =
                regionWorkers.stream()
                        .mapToInt(
                                w -> rackNumbers.computeIfAbsent(w.rack(), r -> rackNumbers.size()))
                        .toArray();
        List<Shape> regionShapes =
                rows.stream()
                        .filter(row -> appliesTo(row, region))
                        .flatMap(row -> row.guarantees().stream())
                        .toList();
        if (ShapePacker.pack(free, rackOfWorker, regionShapes, ShapePacker.CHECK_MAX_STEPS)
                != null) {
            return;
        }
        List<Shape> accepted = new ArrayList<>();
        for (int i = 0; i < rows.size(); i++) {
            TableRow row = rows.get(i);
            if (!appliesTo(row, region) || row.guarantees().isEmpty()) {
                continue;
            }
            List<Shape> candidate = new ArrayList<>(accepted);
            candidate.addAll(row.guarantees());
            if (ShapePacker.pack(free, rackOfWorker, candidate, ShapePacker.CHECK_MAX_STEPS)
                    != null) {
                accepted = candidate;
            } else {
                problems.add(
                        new TableProblem(
                                i + 1,
                                COLUMN,
                                "the workers of region "
                                        + region
                                        + " cannot hold "
                                        + format(row.guarantees())
                                        + " beside the guarantees of the rows above"));
            }
        }
    }

    private static boolean appliesTo(TableRow row, RegionId region) {
        return row.work() == WorkClass.GANG && Objects.equals(row.region(), region);
    }

    private static String format(List<Shape> shapes) {
        return String.join("+", shapes.stream().map(Shape::toString).toList());
    }
}
