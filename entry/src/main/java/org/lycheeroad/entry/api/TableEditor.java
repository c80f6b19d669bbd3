package org.lycheeroad.entry.api;

import java.util.List;
import java.util.Objects;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.protocol.api.Problem;
import org.lycheeroad.protocol.api.TableEdit;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableCells;
import org.lycheeroad.state.table.TableCsv;
import org.lycheeroad.state.table.TableMerge;
import org.lycheeroad.transport.http.HttpCall;

/** Helps the operators' page to edit the table; it changes nothing. */
final class TableEditor {
    /** The table in force; no table has version 0. */
    private record Cells(long version, List<String> columns, List<List<String>> cells) {}

    /** A block of pasted cells. */
    private record Block(List<List<String>> cells) {}

    /** The edit joined with the table in force. */
    private record Merged(long version, List<List<String>> base, TableMerge.Result merge) {}

    private final ControlPlane mControl;

    TableEditor(ControlPlane control) {
        mControl = control;
    }

    /** Answers with the cells of the table in force. */
    void show(HttpCall call) {
        call.answerJson(200, Json.write(inForce()));
    }

    /** Answers with the cells of a pasted text. */
    void paste(HttpCall call) {
        try {
            call.answerJson(200, Json.write(new Block(TableCells.paste(call.text()))));
        } catch (IllegalArgumentException e) {
            call.answerJson(422, Json.write(new Problem("", e.getMessage())));
        }
    }

    /** Answers with an edit joined with the table in force. */
    void merge(HttpCall call) {
        try {
            TableEdit edit = Json.read(call.text(), TableEdit.class);
            if (!isTable(edit.base()) || !isTable(edit.yours())) {
                String reason = "must be rows of " + TableCsv.COLUMNS.size() + " text cells";
                String field = isTable(edit.base()) ? "yours" : "base";
                call.answerJson(400, Json.write(new Problem(field, reason)));
                return;
            }
            Cells now = inForce();
            TableMerge.Result merge = TableMerge.merge(edit.base(), edit.yours(), now.cells());
            call.answerJson(200, Json.write(new Merged(now.version(), now.cells(), merge)));
        } catch (JsonException e) {
            call.answerJson(400, Json.write(new Problem(e.field(), e.getMessage())));
        }
    }

    private Cells inForce() {
        // Version and rows come from one object, so that they belong together.
        return mControl.currentTable()
                .map(t -> new Cells(t.version(), TableCsv.COLUMNS, cells(t)))
                .orElse(new Cells(0, TableCsv.COLUMNS, List.of()));
    }

    private static List<List<String>> cells(OperatorTable table) {
        return TableCells.of(table.rows());
    }

    private static boolean isTable(List<List<String>> rows) {
        return rows != null && rows.stream().allMatch(TableEditor::isRow);
    }

    private static boolean isRow(List<String> row) {
        return row != null
                && row.size() == TableCsv.COLUMNS.size()
                && row.stream().allMatch(Objects::nonNull);
    }
}
