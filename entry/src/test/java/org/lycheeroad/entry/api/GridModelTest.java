package org.lycheeroad.entry.api;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.graalvm.polyglot.Context;
import org.graalvm.polyglot.PolyglotException;
import org.graalvm.polyglot.Source;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The table editor's model, run as the script that the page loads. */
final class GridModelTest {
    private static final String MODULE = "application/javascript+module";

    private final Context mContext =
            Context.newBuilder("js")
                    .allowExperimentalOptions(true)
                    .option("js.esm-eval-returns-exports", "true")
                    .option("engine.WarnInterpreterOnly", "false")
                    .build();

    @BeforeEach
    void load() throws IOException {
        String text;
        try (InputStream in = GridModelTest.class.getResourceAsStream("/ops/grid.js")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        Source script = Source.newBuilder("js", text, "grid.mjs").mimeType(MODULE).build();
        mContext.getBindings("js").putMember("grid", mContext.eval(script));
        run("let s = grid.create(3, ['team', 'limit'], [['montaz', '80'], ['club', '9']])");
    }

    @AfterEach
    void close() {
        mContext.close();
    }

    @Nested
    final class Changes {
        /** Guards against an undo that takes back one letter, or more than one entry. */
        @Test
        void undoRevertsOneCompleteCellEdit() {
            run("s = grid.setCell(s, 0, 1, '7', false)");
            run("s = grid.setCell(s, 0, 1, '70', true)");
            run("s = grid.setCell(s, 1, 1, '5', false)");
            assertThat(cellsOf("grid.undo(s)")).isEqualTo("montaz,70;club,9");
            assertThat(cellsOf("grid.undo(grid.undo(s))")).isEqualTo("montaz,80;club,9");
            assertThat(cellsOf("grid.undo(grid.undo(grid.undo(s)))")).isEqualTo("montaz,80;club,9");
        }

        /**
         * Guards against an offer to save a table that equals the one in force, or none to save.
         */
        @Test
        void rowReinsertedElsewhereIsAChange() {
            assertThat(evaluate("grid.hasChanges(s)")).isEqualTo("false");
            run("let edited = grid.setCell(s, 0, 1, '81', false)");
            assertThat(evaluate("grid.hasChanges(edited)")).isEqualTo("true");
            assertThat(evaluate("grid.hasChanges(grid.setCell(edited, 0, 1, '80', false))"))
                    .isEqualTo("false");
            assertThat(evaluate("grid.hasChanges(grid.insertRow(grid.removeRow(s, 1), 1))"))
                    .isEqualTo("true");
        }
    }

    @Nested
    final class Blocks {
        /** Guards against rows of a pasted block that are lost below the last one. */
        @Test
        void pastedBlockAddsRows() {
            assertThat(cellsOf("grid.setBlock(s, 1, 0, [['a', '1'], ['b']])"))
                    .isEqualTo("montaz,80;a,1;b,");
        }

        /** Guards against a block whose last columns are dropped without a word. */
        @Test
        void tooWideBlockIsRejected() {
            assertThatThrownBy(() -> run("grid.setBlock(s, 0, 1, [['1', '2']])"))
                    .isInstanceOf(PolyglotException.class)
                    .hasMessageContaining("2 columns, but only 1");
        }
    }

    @Nested
    final class Saved {
        /** Guards against a cell that becomes two cells or two rows in the saved table. */
        @Test
        void specialCharactersAreQuoted() {
            assertThat(evaluate("grid.toCsv(grid.setBlock(s, 0, 0, [['a,\"b\"', 'x\\ny']]))"))
                    .isEqualTo("team,limit\n\"a,\"\"b\"\"\",\"x\ny\"\nclub,9\n");
        }

        /** Guards against a merge that ignores the operator's choice for a cell or a row. */
        @Test
        void choicesDecideCellsAndRows() {
            run(
                    "let merged = {version: 4, base: [['montaz', '90']], merge: {"
                            + "cells: [['montaz', ''], ['club', '9']], origins: [0, -1],"
                            + "differences: [{row: 1, column: 'limit', yours: '80', stored: '90'},"
                            + "{row: 2, column: '', yours: 'club', stored: ''}]}}");
            String resolved = "grid.resolve(merged, s.columns, ['%s', '%s'])";
            assertThat(cellsOf(String.format(resolved, "YOURS", "YOURS")))
                    .isEqualTo("montaz,80;club,9");
            assertThat(cellsOf(String.format(resolved, "STORED", "STORED"))).isEqualTo("montaz,90");
            assertThat(
                            evaluate(
                                    "grid.hasChanges("
                                            + String.format(resolved, "STORED", "STORED")
                                            + ")"))
                    .isEqualTo("false");
        }
    }

    private void run(String script) {
        mContext.eval("js", script);
    }

    private String evaluate(String expression) {
        return mContext.eval("js", "String(" + expression + ")").asString();
    }

    private String cellsOf(String state) {
        return evaluate("grid.cells(" + state + ").map((row) => row.join(',')).join(';')");
    }
}
