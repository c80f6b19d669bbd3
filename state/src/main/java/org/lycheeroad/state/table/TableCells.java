package org.lycheeroad.state.table;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;

/** Converts between tables and the text cells in which operators edit them. */
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
     * Returns the cells in the form in which a saved table shows them, such as {@code 8} for {@code
     * 08}; cells of a table with mistakes are returned as they are.
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
            throw new UncheckedIOException("a string builder accepts all text", e);
        } catch (TableException e) {
            return cells;
        }
    }

    /**
     * Reads a block of cells copied from a spreadsheet (separated by tabs) or from a CSV file. A
     * first line that names all columns of the table is left out.
     *
     * @throws IllegalArgumentException if the text is not readable, such as an open quotation mark
     */
    public static List<List<String>> parsePasted(String text) {
        List<List<String>> cells = new ArrayList<>();
        String block = text.startsWith("\uFEFF") ? text.substring(1) : text;
        try (CSVParser parser =
                CSVParser.parse(block, block.contains("\t") ? TAB_SEPARATED : COMMA_SEPARATED)) {
            parser.forEach(row -> cells.add(row.toList()));
        } catch (IOException | UncheckedIOException | IllegalStateException e) {
            throw new IllegalArgumentException("not readable: " + e.getMessage(), e);
        }
        if (!cells.isEmpty() && cells.get(0).equals(TableCsv.COLUMNS)) {
            cells.remove(0);
        }
        return List.copyOf(cells);
    }
}
