package org.lycheeroad.entry.api;

import java.util.List;
import java.util.Objects;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.protocol.api.ApiError;
import org.lycheeroad.protocol.api.TableEdit;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableCells;
import org.lycheeroad.state.table.TableCsv;
import org.lycheeroad.state.table.TableMerge;
import org.lycheeroad.transport.http.HttpCall;

/** Read-only HTTP endpoints that support table editing in the operators' page. */
final class TableEditor {
    /** The current table; version 0 means that there is none. */
    private record Cells(long version, List<String> columns, List<List<String>> cells) {}

    /** A block of pasted cells. */
    private record Block(List<List<String>> cells) {}

    /** The result of merging an edit with the current table. */
    private record Merged(long version, List<List<String>> base, TableMerge.Result merge) {}

    private final ControlPlane mControlPlane;

    TableEditor(ControlPlane controlPlane) {
        mControlPlane = controlPlane;
    }

    /** Answers with the cells of the current table. */
    void show(HttpCall call) {
        call.respondJson(200, Json.write(currentCells()));
    }

    /** Answers with the cells parsed from a pasted text. */
    void paste(HttpCall call) {
        try {
            call.respondJson(200, Json.write(new Block(TableCells.parsePasted(call.text()))));
        } catch (IllegalArgumentException e) {
            call.respondJson(422, Json.write(new ApiError("", e.getMessage())));
        }
    }

    /** Answers with the result of merging an edit with the current table. */
    void merge(HttpCall call) {
        try {
            TableEdit edit = Json.read(call.text(), TableEdit.class);
            if (!isTable(edit.base()) || !isTable(edit.yours())) {
                String reason = "must be rows of " + TableCsv.COLUMNS.size() + " text cells";
                String field = isTable(edit.base()) ? "yours" : "base";
                call.respondJson(400, Json.write(new ApiError(field, reason)));
                return;
            }
            Cells current = currentCells();
            TableMerge.Result merge = TableMerge.merge(edit.base(), edit.yours(), current.cells());
            call.respondJson(
                    200, Json.write(new Merged(current.version(), current.cells(), merge)));
        } catch (JsonException e) {
            call.respondJson(400, Json.write(new ApiError(e.fieldPath(), e.getMessage())));
        }
    }

    private Cells currentCells() {
        // Version and rows are read from the same object, so they are consistent.
        return mControlPlane
                .currentTable()
                .map(table -> new Cells(table.version(), TableCsv.COLUMNS, cells(table)))
                .orElse(new Cells(0, TableCsv.COLUMNS, List.of()));
    }

    private static List<List<String>> cells(OperatorTable table) {
        return TableCells.fromRows(table.rows());
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
