package org.lycheeroad.state.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Joins an operator's edit with the table that is stored by now, cell by cell.
 *
 * <p>Rows are matched by team, work, kind and region. A cell that only one side changed has that
 * side's value; a cell that both changed differently is left open for the operator to decide.
 */
public final class TableMerge {
    private static final int KEY_COLUMNS = 4;

    /** Whose value a differing cell takes. */
    public enum Side {
        YOURS,
        STORED,
        /** Both sides changed it; the operator has to choose. */
        OPEN
    }

    /** How the stored table relates to the edit. */
    public enum Outcome {
        /** The stored table equals the edited one. */
        SAME,
        /** The stored table is still the one that was edited. */
        UNCHANGED,
        /** The stored table is another one. */
        CHANGED
    }

    /**
     * A cell that differs, or a whole row that only one side has.
     *
     * @param row the row of the merged cells, counted from 1
     * @param column the column, or empty for a whole row
     * @param yours the text in the edited table; empty for a row that it does not have
     * @param stored the text in the stored table; empty for a row that it does not have
     */
    public record Difference(int row, String column, String yours, String stored, Side side) {}

    /**
     * The merged table, in which cells that differ have the operator's own values.
     *
     * @param cells all rows of the edited table in their order, then those only the stored one has
     * @param origins the index in the stored table for each row, or -1
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
     * @param base the stored table that the operator began to edit
     * @param yours the operator's table, which may have mistakes
     */
    public static Result merge(
            List<List<String>> base, List<List<String>> yours, List<List<String>> stored) {
        List<List<String>> mine = TableCells.normalize(yours);
        TableMerge merge = new TableMerge();
        base.forEach(row -> merge.mBaseByKey.putIfAbsent(key(row), row));
        for (int i = 0; i < stored.size(); i++) {
            merge.mStoredIndexByKey.put(key(stored.get(i)), i);
        }
        mine.forEach(row -> merge.addYours(row, stored));
        for (int i = 0; i < stored.size(); i++) {
            if (merge.mStoredIndexByKey.containsKey(key(stored.get(i)))) {
                merge.addStored(stored.get(i), i);
            }
        }
        Outcome outcome =
                stored.equals(mine)
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
        List<String> before = mBaseByKey.remove(key(row));
        mMergedRows.add(row);
        mOrigins.add(origin == null ? -1 : origin);
        if (origin == null) {
            Side side = before == null ? Side.YOURS : before.equals(row) ? Side.STORED : Side.OPEN;
            mDifferences.add(new Difference(mMergedRows.size(), "", formatRow(row), "", side));
            return;
        }
        List<String> theirs = stored.get(origin);
        for (int i = KEY_COLUMNS; i < row.size(); i++) {
            String my = row.get(i);
            String their = theirs.get(i);
            if (!my.equals(their)) {
                Side side = before == null ? Side.OPEN : chooseSide(before.get(i), my, their);
                String column = TableCsv.COLUMNS.get(i);
                mDifferences.add(new Difference(mMergedRows.size(), column, my, their, side));
            }
        }
    }

    private void addStored(List<String> row, int origin) {
        List<String> before = mBaseByKey.get(key(row));
        mMergedRows.add(row);
        mOrigins.add(origin);
        Side side = before == null ? Side.STORED : before.equals(row) ? Side.YOURS : Side.OPEN;
        mDifferences.add(new Difference(mMergedRows.size(), "", "", formatRow(row), side));
    }

    private static Side chooseSide(String before, String my, String their) {
        return before.equals(their) ? Side.YOURS : before.equals(my) ? Side.STORED : Side.OPEN;
    }

    private static List<String> key(List<String> row) {
        return row.subList(0, KEY_COLUMNS);
    }

    private static String formatRow(List<String> row) {
        return String.join(",", row);
    }
}
