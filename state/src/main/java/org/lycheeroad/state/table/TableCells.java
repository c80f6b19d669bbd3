package org.lycheeroad.state.table;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;

/** Converts between table rows and the text cells that operators edit. */
public final class TableCells {
    private static final CSVFormat COMMA_SEPARATED =
            CSVFormat.DEFAULT.builder().setTrim(true).setIgnoreEmptyLines(false).get();
    private static final CSVFormat TAB_SEPARATED =
            COMMA_SEPARATED.builder().setDelimiter('\t').get();

    private TableCells() {}

    /** Returns the cells of the rows in the order of {@link TableCsv#COLUMNS}. */
    public static List<List<String>> fromRows(List<TableRow> rows) {
        return rows.stream()
                .map(row -> TableCsv.COLUMNS.stream().map(c -> TableCsv.cell(row, c)).toList())
                .toList();
    }

    /**
     * Returns the cells in the normalized form that a saved table has, such as {@code 8} for {@code
     * 08}. The cells of an invalid table are returned unchanged.
     */
    static List<List<String>> normalize(List<List<String>> cells) {
        StringBuilder csv = new StringBuilder();
        try {
            CSVFormat.DEFAULT.printRecord(csv, TableCsv.COLUMNS.toArray());
            for (List<String> row : cells) {
                CSVFormat.DEFAULT.printRecord(csv, row.toArray());
            }
            return fromRows(TableCsv.parse(csv.toString()));
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a StringBuilder failed", e);
        } catch (TableException e) {
            return cells;
        }
    }

    /**
     * Parses a block of cells copied from a spreadsheet (tab-separated) or from a CSV file. A
     * header line with all columns of the table is skipped.
     *
     * @throws IllegalArgumentException if the text cannot be parsed, for example because of an
     *     unterminated quotation mark
     */
    public static List<List<String>> parsePasted(String text) {
        List<List<String>> cells = new ArrayList<>();
        String block = text.startsWith("\uFEFF") ? text.substring(1) : text;
        try (CSVParser parser =
                CSVParser.parse(block, block.contains("\t") ? TAB_SEPARATED : COMMA_SEPARATED)) {
            parser.forEach(row -> cells.add(row.toList()));
        } catch (IOException | UncheckedIOException | IllegalStateException e) {
            throw new IllegalArgumentException(
                    "cannot parse the pasted cells: " + e.getMessage(), e);
        }
        if (!cells.isEmpty() && cells.get(0).equals(TableCsv.COLUMNS)) {
            cells.remove(0);
        }
        return List.copyOf(cells);
    }
}
