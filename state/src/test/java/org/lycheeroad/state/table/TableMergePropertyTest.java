package org.lycheeroad.state.table;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Merges small random tables. */
final class TableMergePropertyTest {
    /** Guards against differences from which one of the two merged tables cannot be rebuilt. */
    @Property(tries = 500, seed = "3")
    void takingOneSideEverywhereRebuildsItsTable(
            @ForAll @Size(4) List<@IntRange(max = 3) Integer> base,
            @ForAll @Size(4) List<@IntRange(max = 3) Integer> yours,
            @ForAll @Size(4) List<@IntRange(max = 3) Integer> stored) {
        List<List<String>> yourTable = table(yours);
        List<List<String>> storedTable = table(stored);
        TableMerge.Result merged = TableMerge.merge(table(base), yourTable, storedTable);
        assertThat(resolve(merged, false)).containsExactlyElementsOf(yourTable);
        assertThat(resolve(merged, true)).containsExactlyInAnyOrderElementsOf(storedTable);
        assertThat(merged.differences().isEmpty()).isEqualTo(yours.equals(stored));
    }

    /** Returns a table with a row for each team whose weight is above 0. */
    private static List<List<String>> table(List<Integer> weights) {
        List<List<String>> rows = new ArrayList<>();
        for (int i = 0; i < weights.size(); i++) {
            if (weights.get(i) > 0) {
                rows.add(
                        List.of(
                                "team-" + i,
                                "gang",
                                "render",
                                "m",
                                weights.get(i).toString(),
                                "",
                                "",
                                ""));
            }
        }
        return rows;
    }

    /** Returns the table in which all differences are resolved in favor of one side. */
    private static List<List<String>> resolve(TableMerge.Result merged, boolean takeStored) {
        List<List<String>> rows = new ArrayList<>();
        merged.cells().forEach(row -> rows.add(new ArrayList<>(row)));
        for (TableMerge.Difference d : merged.differences()) {
            String text = takeStored ? d.stored() : d.yours();
            if (!d.column().isEmpty()) {
                rows.get(d.row() - 1).set(TableCsv.COLUMNS.indexOf(d.column()), text);
            } else if (text.isEmpty()) {
                rows.get(d.row() - 1).clear();
            }
        }
        rows.removeIf(List::isEmpty);
        return rows;
    }
}
