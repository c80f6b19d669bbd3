package org.lycheeroad.state.table;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Merging an edit with a table that another operator has saved in the meantime. */
final class TableMergeTest {
    private static final List<String> ROW = row("montaz", "2", "16");

    @Nested
    final class Cells {
        /** Guards against a save that reverts another operator's changes to other cells. */
        @Test
        void changedByOneSideTakeItsValue() {
            TableMerge.Result merged = merge(ROW, row("montaz", "3", "16"), row("montaz", "2", ""));
            assertThat(merged.outcome()).isEqualTo(TableMerge.Outcome.CHANGED);
            assertThat(merged.differences())
                    .containsExactly(
                            difference("weight", "3", "2", TableMerge.Side.YOURS),
                            difference("limit", "16", "", TableMerge.Side.STORED));
        }

        /** Guards against silently replacing the other operator's value of the same cell. */
        @Test
        void changedByBothSidesAreConflicts() {
            TableMerge.Result merged =
                    merge(ROW, row("montaz", "3", "16"), row("montaz", "4", "16"));
            assertThat(merged.differences())
                    .containsExactly(difference("weight", "3", "4", TableMerge.Side.OPEN));
        }

        /** Guards against false differences between texts of the same value, such as 03 and 3. */
        @Test
        void differingOnlyInFormatAreTheSame() {
            TableMerge.Result merged =
                    merge(ROW, row("montaz", "03", "16"), row("montaz", "3", "16"));
            assertThat(merged.outcome()).isEqualTo(TableMerge.Outcome.SAME);
            assertThat(merged.differences()).isEmpty();
        }

        /** Guards against losing an edit because one of its cells is invalid. */
        @Test
        void withInvalidTextAreKept() {
            TableMerge.Result merged = merge(ROW, row("montaz", "many", "16"), ROW);
            assertThat(merged.outcome()).isEqualTo(TableMerge.Outcome.UNCHANGED);
            assertThat(merged.cells()).containsExactly(row("montaz", "many", "16"));
        }
    }

    @Nested
    final class Rows {
        /**
         * Guards against dropping or restoring a row that one side removed and the other changed.
         */
        @Test
        void removedByOneSideAndChangedByTheOtherAreConflicts() {
            List<String> changed = row("montaz", "3", "16");
            assertThat(TableMerge.merge(List.of(ROW), List.of(), List.of(changed)).differences())
                    .extracting(TableMerge.Difference::side)
                    .containsExactly(TableMerge.Side.OPEN);
            assertThat(TableMerge.merge(List.of(ROW), List.of(changed), List.of()).differences())
                    .extracting(TableMerge.Difference::side)
                    .containsExactly(TableMerge.Side.OPEN);
        }

        /** Guards against restoring removed rows and losing added ones. */
        @Test
        void addedOrRemovedByOneSideFollowThatSide() {
            List<String> kluby = row("kluby", "1", "");
            assertThat(sides(List.of(ROW), List.of(ROW, kluby), List.of(ROW)))
                    .containsExactly(TableMerge.Side.YOURS);
            assertThat(sides(List.of(ROW), List.of(ROW), List.of(ROW, kluby)))
                    .containsExactly(TableMerge.Side.STORED);
            assertThat(sides(List.of(ROW, kluby), List.of(ROW), List.of(ROW, kluby)))
                    .containsExactly(TableMerge.Side.YOURS);
            assertThat(sides(List.of(ROW, kluby), List.of(ROW, kluby), List.of(ROW)))
                    .containsExactly(TableMerge.Side.STORED);
        }
    }

    @Nested
    final class Pasted {
        /** Guards against shifted cells when a block has empty cells, empty lines or quotes. */
        @Test
        void cellsKeepTheirPositions() {
            assertThat(TableCells.parsePasted("a\t1,5\t\r\n\r\n\"b\tc\"\t2\r\n"))
                    .containsExactly(List.of("a", "1,5", ""), List.of(""), List.of("b\tc", "2"));
            assertThat(TableCells.parsePasted("team,work\na,\"x, y\""))
                    .containsExactly(List.of("team", "work"), List.of("a", "x, y"));
        }

        /** Guards against a header that becomes a table row when a whole file is pasted. */
        @Test
        void headerIsSkipped() {
            String header = String.join(",", TableCsv.COLUMNS);
            assertThat(TableCells.parsePasted(header + "\n" + String.join(",", ROW)))
                    .containsExactly(ROW);
        }

        /** Guards against accepting a truncated block as complete. */
        @Test
        void unterminatedQuotationMarkIsRejected() {
            assertThatThrownBy(() -> TableCells.parsePasted("a,\"b\nc"))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    private static List<TableMerge.Side> sides(
            List<List<String>> base, List<List<String>> yours, List<List<String>> stored) {
        return TableMerge.merge(base, yours, stored).differences().stream()
                .map(TableMerge.Difference::side)
                .toList();
    }

    private static TableMerge.Result merge(
            List<String> base, List<String> yours, List<String> stored) {
        return TableMerge.merge(List.of(base), List.of(yours), List.of(stored));
    }

    private static TableMerge.Difference difference(
            String column, String yours, String stored, TableMerge.Side side) {
        return new TableMerge.Difference(1, column, yours, stored, side);
    }

    private static List<String> row(String team, String weight, String limit) {
        return Arrays.asList(team, "gang", "render", "mazowsze", weight, limit, "", "");
    }
}
