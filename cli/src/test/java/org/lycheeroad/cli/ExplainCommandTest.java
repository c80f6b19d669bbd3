package org.lycheeroad.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {
    @TempDir Path mDir;

    /** Lines of several processes that are not merged hide the order of what happened. */
    @Test
    void mergesTheLogsOfSeveralProcesses() throws Exception {
        Path one =
                log(
                        "one",
                        line(2_000, "vm-1", 304, "j1", "order sent"),
                        "2026-01-01T00:00:00Z WARN some other line {",
                        line(9_000, "vm-1", 220, "", "role gained: epoch=9"));
        Path two =
                log(
                        "two",
                        "  12.1 vm-2 " + line(1_000, "vm-2", 300, "j1", "job accepted"),
                        line(1_500, "vm-2", 220, "", "role gained: epoch=3"),
                        line(1_600, "vm-2", 300, "j2", "job accepted"));
        String text = explain("j1", one.toString(), two.toString());
        assertThat(text.lines().map(l -> l.replaceAll(" +", " ").trim()).toList())
                .isEqualTo(
                        List.of(
                                "+0 ms vm-2 300 job accepted",
                                "+500 ms vm-2 220 role gained: epoch=3",
                                "+1000 ms vm-1 304 order sent"));
    }

    @Test
    void saysThatAJobIsNotInTheLogs() throws Exception {
        Path one = log("one", line(2_000, "vm-1", 304, "j1", "order sent"));
        assertThat(explain("j9", one.toString())).contains("no event of job j9");
    }

    private static String explain(String... words) {
        String[] arguments = new String[words.length + 1];
        arguments[0] = "explain";
        System.arraycopy(words, 0, arguments, 1, words.length);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        ExitCode unused = CliMain.run(arguments, out, out);
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private Path log(String name, String... lines) throws Exception {
        return Files.write(mDir.resolve(name), List.of(lines));
    }

    private static String line(long at, String entry, int number, String job, String text) {
        return "{\"at\":{\"millis\":"
                + at
                + ",\"counter\":0},\"entry\":\""
                + entry
                + "\",\"number\":"
                + number
                + ",\"job\":\""
                + job
                + "\",\"request\":\"\",\"team\":\"\",\"text\":\""
                + text
                + "\"}";
    }
}
