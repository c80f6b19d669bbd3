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

    /**
     * Guards against log lines of several processes that are not sorted by time, which hides the
     * order of events.
     */
    @Test
    void mergesLogsOfSeveralProcesses() throws Exception {
        Path firstLog =
                writeLog(
                        "one",
                        eventJson(2_000, "vm-1", 304, "j1", "order sent"),
                        "2026-01-01T00:00:00Z WARN some other line {",
                        eventJson(9_000, "vm-1", 220, "", "role gained: epoch=9"));
        Path secondLog =
                writeLog(
                        "two",
                        "  12.1 vm-2 " + eventJson(1_000, "vm-2", 300, "j1", "job accepted"),
                        eventJson(1_500, "vm-2", 220, "", "role gained: epoch=3"),
                        eventJson(1_600, "vm-2", 300, "j2", "job accepted"));
        String text = runExplain("j1", firstLog.toString(), secondLog.toString());
        assertThat(text.lines().map(l -> l.replaceAll(" +", " ").trim()).toList())
                .isEqualTo(
                        List.of(
                                "+0 ms vm-2 300 job accepted",
                                "+500 ms vm-2 220 role gained: epoch=3",
                                "+1000 ms vm-1 304 order sent"));
    }

    @Test
    void reportsJobThatIsNotInTheLogs() throws Exception {
        Path firstLog = writeLog("one", eventJson(2_000, "vm-1", 304, "j1", "order sent"));
        assertThat(runExplain("j9", firstLog.toString())).contains("no event of job j9");
    }

    private static String runExplain(String... arguments) {
        String[] commandLine = new String[arguments.length + 1];
        commandLine[0] = "explain";
        System.arraycopy(arguments, 0, commandLine, 1, arguments.length);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
        ExitCode unused = CliMain.run(commandLine, out, out);
        return output.toString(StandardCharsets.UTF_8);
    }

    private Path writeLog(String name, String... lines) throws Exception {
        return Files.write(mDir.resolve(name), List.of(lines));
    }

    private static String eventJson(
            long millis, String entry, int number, String job, String text) {
        return "{\"at\":{\"millis\":"
                + millis
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
