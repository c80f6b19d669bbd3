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

/** Tests the table editor's model by running the script that the page loads. */
final class GridModelTest {
    private static final String MODULE = "application/javascript+module";

    private final Context mContext =
            Context.newBuilder("js")
                    .allowExperimentalOptions(true)
                    .option("js.esm-eval-returns-exports", "true")
                    .option("engine.WarnInterpreterOnly", "false")
                    .build();

    @BeforeEach
    void loadModel() throws IOException {
        String text;
        try (InputStream in = GridModelTest.class.getResourceAsStream("/ops/grid.js")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        Source script = Source.newBuilder("js", text, "grid.mjs").mimeType(MODULE).build();
        mContext.getBindings("js").putMember("grid", mContext.eval(script));
        runScript("let s = grid.create(3, ['team', 'limit'], [['montaz', '80'], ['club', '9']])");
    }

    @AfterEach
    void close() {
        mContext.close();
    }

    @Nested
    final class Changes {
        /** Guards against an undo that reverts one typed character, or more than one cell edit. */
        @Test
        void undoRevertsOneCompleteCellEdit() {
            runScript("s = grid.setCell(s, 0, 1, '7', false)");
            runScript("s = grid.setCell(s, 0, 1, '70', true)");
            runScript("s = grid.setCell(s, 1, 1, '5', false)");
            assertThat(cellsOf("grid.undo(s)")).isEqualTo("montaz,70;club,9");
            assertThat(cellsOf("grid.undo(grid.undo(s))")).isEqualTo("montaz,80;club,9");
            assertThat(cellsOf("grid.undo(grid.undo(grid.undo(s)))")).isEqualTo("montaz,80;club,9");
        }

        /**
         * Guards against offering to save a table that equals the current one, and against not
         * offering to save one that differs.
         */
        @Test
        void rowReinsertedElsewhereIsAChange() {
            assertThat(evaluate("grid.hasChanges(s)")).isEqualTo("false");
            runScript("let edited = grid.setCell(s, 0, 1, '81', false)");
            assertThat(evaluate("grid.hasChanges(edited)")).isEqualTo("true");
            assertThat(evaluate("grid.hasChanges(grid.setCell(edited, 0, 1, '80', false))"))
                    .isEqualTo("false");
            assertThat(evaluate("grid.hasChanges(grid.insertRow(grid.removeRow(s, 1), 1))"))
                    .isEqualTo("true");
        }
    }

    @Nested
    final class Blocks {
        /** Guards against dropping pasted rows that extend below the last row of the table. */
        @Test
        void pastedBlockAddsRows() {
            assertThat(cellsOf("grid.pasteBlock(s, 1, 0, [['a', '1'], ['b']])"))
                    .isEqualTo("montaz,80;a,1;b,");
        }

        /** Guards against silently dropping pasted columns that do not fit. */
        @Test
        void tooWideBlockIsRejected() {
            assertThatThrownBy(() -> runScript("grid.pasteBlock(s, 0, 1, [['1', '2']])"))
                    .isInstanceOf(PolyglotException.class)
                    .hasMessageContaining("2 columns, but only 1");
        }
    }

    @Nested
    final class Saved {
        /** Guards against a cell that is split into several cells or rows in the saved table. */
        @Test
        void specialCharactersAreQuoted() {
            assertThat(evaluate("grid.toCsv(grid.pasteBlock(s, 0, 0, [['a,\"b\"', 'x\\ny']]))"))
                    .isEqualTo("team,limit\n\"a,\"\"b\"\"\",\"x\ny\"\nclub,9\n");
        }

        /** Guards against a merge that ignores the operator's choice for a cell or row. */
        @Test
        void choicesDecideCellsAndRows() {
            runScript(
                    "let merged = {version: 4, base: [['montaz', '90']], merge: {"
                            + "cells: [['montaz', ''], ['club', '9']], origins: [0, -1],"
                            + "differences: [{row: 1, column: 'limit', yours: '80', stored: '90'},"
                            + "{row: 2, column: '', yours: 'club', stored: ''}]}}");
            String resolved = "grid.applyChoices(merged, s.columns, ['%s', '%s'])";
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

    private void runScript(String script) {
        mContext.eval("js", script);
    }

    private String evaluate(String expression) {
        return mContext.eval("js", "String(" + expression + ")").asString();
    }

    private String cellsOf(String state) {
        return evaluate("grid.cellsOf(" + state + ").map((row) => row.join(',')).join(';')");
    }
}
