package org.lycheeroad.state.table;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.shape.Shape;

/** Reads and writes the operators' table as CSV, which spreadsheet programs also read and write. */
public final class TableCsv {
    /** The columns in output order. */
    public static final List<String> COLUMNS =
            List.of(
                    "team",
                    "work",
                    "kind",
                    "region",
                    "weight",
                    "limit",
                    "guarantee",
                    "deadline_ms");

    private static final int MAX_WEIGHT = 1_000_000;
    private static final long MAX_LIMIT = 1_000_000_000;
    private static final int MAX_DEADLINE_MS = 24 * 60 * 60 * 1000;
    private static final CSVFormat FORMAT =
            CSVFormat.DEFAULT
                    .builder()
                    .setTrim(true)
                    .setIgnoreEmptyLines(true)
                    .setRecordSeparator('\n')
                    .get();

    private TableCsv() {}

    /**
     * Parses a table. The first line is a header with all columns, in any order.
     *
     * @throws TableException if the table is invalid; lists all problems
     */
    public static List<TableRow> parse(String csv) throws TableException {
        List<TableProblem> problems = new ArrayList<>();
        List<TableRow> rows = new ArrayList<>();
        List<CSVRecord> records = readRecords(csv, problems);
        if (records.isEmpty()) {
            if (problems.isEmpty()) {
                problems.add(new TableProblem(0, "", "the table has no header"));
            }
            throw new TableException(problems);
        }
        Map<String, Integer> header = readHeader(records.get(0), problems);
        if (!problems.isEmpty()) {
            throw new TableException(problems);
        }
        Map<List<Object>, Integer> firstRowByKey = new HashMap<>();
        for (int i = 1; i < records.size(); i++) {
            RowReader reader = new RowReader(i, header, records.get(i), problems);
            TableRow row = reader.read();
            if (row == null) {
                continue;
            }
            Integer firstRow = firstRowByKey.putIfAbsent(key(row), i);
            if (firstRow != null) {
                problems.add(
                        new TableProblem(
                                i, "team", "same team, work, kind and region as row " + firstRow));
            }
            rows.add(row);
        }
        if (!problems.isEmpty()) {
            throw new TableException(problems);
        }
        return List.copyOf(rows);
    }

    /** Formats a table as CSV that {@link #parse} accepts. */
    public static String format(List<TableRow> rows) {
        StringBuilder csv = new StringBuilder();
        try {
            FORMAT.printRecord(csv, COLUMNS.toArray());
            for (TableRow row : rows) {
                FORMAT.printRecord(csv, COLUMNS.stream().map(c -> cell(row, c)).toArray());
            }
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a StringBuilder failed", e);
        }
        return csv.toString();
    }

    /** Returns the text of a cell. */
    static String cell(TableRow row, String column) {
        return switch (column) {
            case "team" -> row.team().value();
            case "work" -> row.work().name().toLowerCase(Locale.ROOT);
            case "kind" -> row.kind().value();
            case "region" -> row.region().value();
            case "weight" -> Integer.toString(row.weight());
            case "limit" -> row.limit().isPresent() ? Long.toString(row.limit().getAsLong()) : "";
            case "guarantee" ->
                    row.guarantees().stream().map(Shape::toString).collect(Collectors.joining("+"));
            case "deadline_ms" -> row.deadlineMs() == 0 ? "" : Integer.toString(row.deadlineMs());
            default -> throw new IllegalArgumentException("unknown column " + column);
        };
    }

    /** Returns the cells that identify a row; no two rows of a table have the same key. */
    static List<Object> key(TableRow row) {
        return List.of(row.team(), row.work(), row.kind(), row.region());
    }

    private static List<CSVRecord> readRecords(String csv, List<TableProblem> problems) {
        // Spreadsheet programs may write a byte order mark before the first column name.
        String text = csv.startsWith("\uFEFF") ? csv.substring(1) : csv;
        List<CSVRecord> records = new ArrayList<>();
        try (CSVParser parser = CSVParser.parse(text, FORMAT)) {
            parser.forEach(records::add);
        } catch (IOException | UncheckedIOException | IllegalStateException e) {
            problems.add(
                    new TableProblem(records.size(), "", "cannot parse CSV: " + e.getMessage()));
            return List.of();
        }
        return records;
    }

    private static Map<String, Integer> readHeader(CSVRecord record, List<TableProblem> problems) {
        Map<String, Integer> header = new HashMap<>();
        for (int i = 0; i < record.size(); i++) {
            String column = record.get(i).toLowerCase(Locale.ROOT);
            if (!COLUMNS.contains(column)) {
                problems.add(new TableProblem(0, column, "unknown column"));
            } else if (header.putIfAbsent(column, i) != null) {
                problems.add(new TableProblem(0, column, "duplicate column"));
            }
        }
        for (String column : COLUMNS) {
            if (!header.containsKey(column)) {
                problems.add(new TableProblem(0, column, "missing column"));
            }
        }
        return header;
    }

    /** Parses one row and reports every invalid cell. */
    private static final class RowReader {
        private final int mRow;
        private final Map<String, Integer> mHeader;
        private final CSVRecord mRecord;
        private final List<TableProblem> mProblems;

        RowReader(
                int row,
                Map<String, Integer> header,
                CSVRecord record,
                List<TableProblem> problems) {
            mRow = row;
            mHeader = header;
            mRecord = record;
            mProblems = problems;
        }

        /** Returns the row, or null if it has problems, which are then reported. */
        TableRow read() {
            final int problemsBefore = mProblems.size();
            if (mRecord.size() > mHeader.size()) {
                report("", "the row has more cells than the header");
            }
            final TeamId team = parseCell("team", TeamId::new);
            final WorkClass work = parseCell("work", RowReader::parseWorkClass);
            final KindId kind = parseCell("kind", KindId::new);
            final RegionId region = parseCell("region", RegionId::new);
            final Long weight = parseCell("weight", t -> parseNumber(t, 1, MAX_WEIGHT));
            final OptionalLong limit = parseCell("limit", RowReader::parseLimit);
            final List<Shape> guarantees = parseCell("guarantee", RowReader::parseShapes);
            final Long deadlineMs = parseCell("deadline_ms", t -> parseDeadlineMs(t, work));
            if (work == WorkClass.REQUEST && guarantees != null && !guarantees.isEmpty()) {
                report("guarantee", "only rows with work 'gang' may have guarantees");
            }
            if (mProblems.size() > problemsBefore) {
                return null;
            }
            return new TableRow(
                    team,
                    work,
                    kind,
                    region,
                    weight.intValue(),
                    limit,
                    guarantees,
                    deadlineMs.intValue());
        }

        private <T> T parseCell(String column, Function<String, T> parser) {
            int index = mHeader.get(column);
            String text = index < mRecord.size() ? mRecord.get(index) : "";
            try {
                return parser.apply(text);
            } catch (IllegalArgumentException e) {
                report(column, e.getMessage());
                return null;
            }
        }

        private void report(String column, String reason) {
            mProblems.add(new TableProblem(mRow, column, reason));
        }

        private static WorkClass parseWorkClass(String text) {
            return switch (text.toLowerCase(Locale.ROOT)) {
                case "request" -> WorkClass.REQUEST;
                case "gang" -> WorkClass.GANG;
                default ->
                        throw new IllegalArgumentException(
                                "must be 'request' or 'gang', not '" + text + "'");
            };
        }

        private static OptionalLong parseLimit(String text) {
            return text.isEmpty()
                    ? OptionalLong.empty()
                    : OptionalLong.of(parseNumber(text, 0, MAX_LIMIT));
        }

        private static List<Shape> parseShapes(String text) {
            List<Shape> shapes = new ArrayList<>();
            if (!text.isEmpty()) {
                for (String part : text.split("\\+", -1)) {
                    shapes.add(Shape.parse(part));
                }
            }
            return List.copyOf(shapes);
        }

        private static Long parseDeadlineMs(String text, WorkClass work) {
            if (text.isEmpty() && work != WorkClass.REQUEST) {
                return 0L;
            }
            return parseNumber(text, 1, MAX_DEADLINE_MS);
        }

        private static long parseNumber(String text, long min, long max) {
            try {
                long value = Long.parseLong(text);
                if (value >= min && value <= max) {
                    return value;
                }
            } catch (NumberFormatException e) {
                // The exception below reports the allowed range.
            }
            throw new IllegalArgumentException(
                    "must be a whole number from " + min + " to " + max + ", not '" + text + "'");
        }
    }
}
