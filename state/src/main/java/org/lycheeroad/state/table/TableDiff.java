package org.lycheeroad.state.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Lists the cells in which two tables differ. */
public final class TableDiff {
    private TableDiff() {}

    /**
     * Compares a table that an operator wants to save with the stored table.
     *
     * <p>Rows are matched by team, work, kind and region. The row of a problem is the row in {@code
     * yours}, or 0 for a row that exists only in the stored table.
     */
    public static List<TableProblem> differences(List<TableRow> yours, List<TableRow> stored) {
        Map<List<Object>, TableRow> unmatched = new HashMap<>();
        stored.forEach(row -> unmatched.put(TableCsv.key(row), row));
        List<TableProblem> differences = new ArrayList<>();
        for (int i = 0; i < yours.size(); i++) {
            TableRow yourRow = yours.get(i);
            TableRow storedRow = unmatched.remove(TableCsv.key(yourRow));
            if (storedRow == null) {
                differences.add(
                        new TableProblem(
                                i + 1,
                                "team",
                                "the stored table has no row " + formatKey(yourRow)));
                continue;
            }
            for (String column : TableCsv.COLUMNS) {
                String yourCell = TableCsv.cell(yourRow, column);
                String storedCell = TableCsv.cell(storedRow, column);
                if (!yourCell.equals(storedCell)) {
                    String reason = "yours is '" + yourCell + "', stored is '" + storedCell + "'";
                    differences.add(new TableProblem(i + 1, column, reason));
                }
            }
        }
        for (TableRow row : stored) {
            if (unmatched.containsKey(TableCsv.key(row))) {
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
