package org.lycheeroad.state.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A three-way merge, cell by cell, of an operator's edited table with the currently stored table.
 *
 * <p>Rows are matched by team, work, kind and region. A cell that only one side changed takes that
 * side's value; a cell that both sides changed differently is a conflict, which the operator has to
 * resolve.
 */
public final class TableMerge {
    private static final int KEY_COLUMNS = 4;

    /** The side whose value a differing cell takes. */
    public enum Side {
        YOURS,
        STORED,
        /** A conflict: both sides changed the cell, and the operator has to choose. */
        OPEN
    }

    /** How the stored table relates to the edited one. */
    public enum Outcome {
        /** The stored table equals the edited one. */
        SAME,
        /** The stored table is still the base of the edit. */
        UNCHANGED,
        /** The stored table has changed since the edit began. */
        CHANGED
    }

    /**
     * A cell that differs, or a whole row that exists on one side only.
     *
     * @param row the row in the merged table, counted from 1
     * @param column the column, or empty for a whole row
     * @param yours the text in the edited table; empty if it does not have the row
     * @param stored the text in the stored table; empty if it does not have the row
     */
    public record Difference(int row, String column, String yours, String stored, Side side) {}

    /**
     * The merged table, in which differing cells have the values of the edited table.
     *
     * @param cells all rows of the edited table in their order, followed by the rows that exist
     *     only in the stored table
     * @param origins for each row, its index in the stored table, or -1
     */
    public record Result(
            Outcome outcome,
            List<List<String>> cells,
            List<Integer> origins,
            List<Difference> differences) {}

    private final Map<List<String>, List<String>> mBaseByKey = new HashMap<>();
    private final Map<List<String>, Integer> mStoredIndexByKey = new HashMap<>();
    private final List<List<String>> mMergedRows = new ArrayList<>();
    private final List<Integer> mOrigins = new ArrayList<>();
    private final List<Difference> mDifferences = new ArrayList<>();

    private TableMerge() {}

    /**
     * Merges three tables given as cells in the order of {@link TableCsv#COLUMNS}.
     *
     * @param base the version of the stored table on which the edit is based
     * @param yours the edited table, which may contain errors
     * @param stored the current version of the stored table
     */
    public static Result merge(
            List<List<String>> base, List<List<String>> yours, List<List<String>> stored) {
        List<List<String>> edited = TableCells.normalize(yours);
        TableMerge merge = new TableMerge();
        base.forEach(row -> merge.mBaseByKey.putIfAbsent(key(row), row));
        for (int i = 0; i < stored.size(); i++) {
            merge.mStoredIndexByKey.put(key(stored.get(i)), i);
        }
        edited.forEach(row -> merge.addYours(row, stored));
        for (int i = 0; i < stored.size(); i++) {
            if (merge.mStoredIndexByKey.containsKey(key(stored.get(i)))) {
                merge.addStored(stored.get(i), i);
            }
        }
        Outcome outcome =
                stored.equals(edited)
                        ? Outcome.SAME
                        : stored.equals(base) ? Outcome.UNCHANGED : Outcome.CHANGED;
        return new Result(
                outcome,
                List.copyOf(merge.mMergedRows),
                List.copyOf(merge.mOrigins),
                List.copyOf(merge.mDifferences));
    }

    private void addYours(List<String> row, List<List<String>> stored) {
        Integer origin = mStoredIndexByKey.remove(key(row));
        List<String> baseRow = mBaseByKey.remove(key(row));
        mMergedRows.add(row);
        mOrigins.add(origin == null ? -1 : origin);
        if (origin == null) {
            Side side =
                    baseRow == null ? Side.YOURS : baseRow.equals(row) ? Side.STORED : Side.OPEN;
            mDifferences.add(new Difference(mMergedRows.size(), "", formatRow(row), "", side));
            return;
        }
        List<String> storedRow = stored.get(origin);
        for (int i = KEY_COLUMNS; i < row.size(); i++) {
            String yourCell = row.get(i);
            String storedCell = storedRow.get(i);
            if (!yourCell.equals(storedCell)) {
                Side side =
                        baseRow == null
                                ? Side.OPEN
                                : chooseSide(baseRow.get(i), yourCell, storedCell);
                String column = TableCsv.COLUMNS.get(i);
                mDifferences.add(
                        new Difference(mMergedRows.size(), column, yourCell, storedCell, side));
            }
        }
    }

    private void addStored(List<String> row, int origin) {
        List<String> baseRow = mBaseByKey.get(key(row));
        mMergedRows.add(row);
        mOrigins.add(origin);
        Side side = baseRow == null ? Side.STORED : baseRow.equals(row) ? Side.YOURS : Side.OPEN;
        mDifferences.add(new Difference(mMergedRows.size(), "", "", formatRow(row), side));
    }

    private static Side chooseSide(String baseCell, String yourCell, String storedCell) {
        return baseCell.equals(storedCell)
                ? Side.YOURS
                : baseCell.equals(yourCell) ? Side.STORED : Side.OPEN;
    }

    private static List<String> key(List<String> row) {
        return row.subList(0, KEY_COLUMNS);
    }

    private static String formatRow(List<String> row) {
        return String.join(",", row);
    }
}
