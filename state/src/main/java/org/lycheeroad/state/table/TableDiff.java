package org.lycheeroad.state.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Names the cells in which two tables differ. */
public final class TableDiff {
    private TableDiff() {}

    /**
     * Compares a table that an operator wants to save with the one that is stored.
     *
     * <p>Rows are matched by team, work, kind and region. A problem's row is that of {@code yours},
     * or 0 for a row that only the stored table has.
     */
    public static List<TableProblem> differences(List<TableRow> yours, List<TableRow> stored) {
        Map<List<Object>, TableRow> left = new HashMap<>();
        stored.forEach(row -> left.put(TableCsv.key(row), row));
        List<TableProblem> differences = new ArrayList<>();
        for (int i = 0; i < yours.size(); i++) {
            TableRow mine = yours.get(i);
            TableRow theirs = left.remove(TableCsv.key(mine));
            if (theirs == null) {
                differences.add(
                        new TableProblem(
                                i + 1, "team", "the stored table has no row " + formatKey(mine)));
                continue;
            }
            for (String column : TableCsv.COLUMNS) {
                String my = TableCsv.cell(mine, column);
                String their = TableCsv.cell(theirs, column);
                if (!my.equals(their)) {
                    String reason = "yours is '" + my + "', stored is '" + their + "'";
                    differences.add(new TableProblem(i + 1, column, reason));
                }
            }
        }
        for (TableRow row : stored) {
            if (left.containsKey(TableCsv.key(row))) {
                differences.add(
                        new TableProblem(
                                0, "team", "only the stored table has row " + formatKey(row)));
            }
        }
        return differences;
    }

    private static String formatKey(TableRow row) {
        return TableCsv.cell(row, "team")
                + ","
                + TableCsv.cell(row, "work")
                + ","
                + TableCsv.cell(row, "kind")
                + ","
                + TableCsv.cell(row, "region");
    }
}
