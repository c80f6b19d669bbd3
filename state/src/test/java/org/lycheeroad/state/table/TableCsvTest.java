package org.lycheeroad.state.table;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Parsing, formatting and comparing tables. */
final class TableCsvTest {
    private static final String HEADER =
            "team,work,kind,region,weight,limit,guarantee,deadline_ms\n";
    private static final String GANG_ROW =
            "montaz,gang,render,mazowsze,2,16,2x8@rack+1x4@worker,\n";

    @Nested
    final class Valid {
        /** Guards against cells that change when a table is parsed and formatted again. */
        @Test
        void parsedTableIsFormattedUnchanged() throws Exception {
            String csv = HEADER + GANG_ROW + "montaz,request,layout,mazowsze,1,,,500\n";
            assertThat(TableCsv.format(TableCsv.parse("\uFEFF" + csv))).isEqualTo(csv);
        }

        /** Guards against reporting a conflict in cells that do not differ. */
        @Test
        void differencesNameRowAndColumn() throws Exception {
            List<TableRow> yours = TableCsv.parse(HEADER + GANG_ROW);
            List<TableRow> stored =
                    TableCsv.parse(
                            HEADER
                                    + GANG_ROW.replace(",16,", ",24,")
                                    + "kluby,gang,render,mazowsze,1,,,\n");
            assertThat(TableDiff.differences(yours, yours)).isEmpty();
            assertThat(TableDiff.differences(yours, stored))
                    .extracting(TableProblem::row, TableProblem::column)
                    .containsExactly(
                            org.assertj.core.groups.Tuple.tuple(1, "limit"),
                            org.assertj.core.groups.Tuple.tuple(0, "team"));
        }
    }

    @Nested
    final class Invalid {
        /**
         * Guards against reporting only the first problem, so that operators must retry for each.
         */
        @Test
        void allProblemsAreReportedAtOnce() {
            String csv =
                    HEADER
                            + "mon taz,gang,render,mazowsze,0,x,9x9,\n"
                            + GANG_ROW
                            + GANG_ROW
                            + "montaz,request,layout,mazowsze,1,,1x1@any,\n";
            TableException e =
                    catchThrowableOfType(TableException.class, () -> TableCsv.parse(csv));
            assertThat(e.problems())
                    .extracting(p -> p.row() + p.column())
                    .containsExactly(
                            "1team",
                            "1weight",
                            "1limit",
                            "1guarantee",
                            "3team",
                            "4deadline_ms",
                            "4guarantee");
        }

        /** Guards against ignoring a column whose name is misspelled. */
        @Test
        void headerMustHaveAllColumns() {
            TableException e =
                    catchThrowableOfType(
                            TableException.class,
                            () -> TableCsv.parse(HEADER.replace("limit", "limits")));
            assertThat(e.problems())
                    .extracting(TableProblem::column)
                    .containsExactly("limits", "limit");
        }
    }
}
