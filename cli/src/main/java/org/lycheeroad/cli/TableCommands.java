package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.state.table.TableCsv;
import org.lycheeroad.state.table.TableException;
import org.lycheeroad.state.table.TableProblem;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpCallException;

/** The commands that read, check and save the operators' table. */
public final class TableCommands {
    private static final String TABLE_PATH = "/ops/v1/table";

    private TableCommands() {}

    /** Prints the current table. */
    @Command(name = "get", description = "Prints the table in force as CSV")
    public static final class Get extends CliCommand {
        @Override
        ExitCode run(PrintStream out, PrintStream err) throws Exception {
            try (FailoverClient client = connectOps()) {
                BufferedHttpResponse answer = fetchTable(client);
                if (answer.status() != 200) {
                    return reportRefusal(answer, err);
                }
                err.println("version " + answer.header("ETag"));
                out.print(answer.text());
                return ExitCode.OK;
            }
        }
    }

    /** Checks a table without saving it. */
    @Command(name = "check", description = "Checks a table without saving it")
    public static final class Check extends CliCommand {
        @Arguments(description = "CSV file", title = "file")
        @Required
        String mFile;

        @Override
        ExitCode run(PrintStream out, PrintStream err) throws Exception {
            byte[] csv = utf8(readFile(mFile));
            try (FailoverClient client = connectOps()) {
                BufferedHttpResponse answer =
                        client.callWithFailover(
                                true,
                                new ServerCall(
                                        "POST",
                                        TABLE_PATH + "/check",
                                        opsHeaders(),
                                        csv,
                                        CALL_TIMEOUT_MS));
                if (answer.status() != 200) {
                    return reportRefusal(answer, err);
                }
                out.println("no problems");
                return ExitCode.OK;
            }
        }
    }

    /** Compares a file with the current table. */
    @Command(name = "diff", description = "Shows rows that differ from the table in force")
    public static final class Diff extends CliCommand {
        @Arguments(description = "CSV file", title = "file")
        @Required
        String mFile;

        @Override
        ExitCode run(PrintStream out, PrintStream err) throws Exception {
            Set<String> fileRows;
            try {
                fileRows = normalizedRows(readFile(mFile));
            } catch (TableException e) {
                e.problems().forEach(p -> err.println(formatProblem(p)));
                return ExitCode.FAILED;
            }
            try (FailoverClient client = connectOps()) {
                BufferedHttpResponse answer = fetchTable(client);
                if (answer.status() != 200) {
                    return reportRefusal(answer, err);
                }
                Set<String> currentRows = normalizedRows(answer.text());
                currentRows.stream()
                        .filter(r -> !fileRows.contains(r))
                        .forEach(r -> out.println("-" + r));
                fileRows.stream()
                        .filter(r -> !currentRows.contains(r))
                        .forEach(r -> out.println("+" + r));
                return currentRows.equals(fileRows) ? ExitCode.OK : ExitCode.FAILED;
            }
        }
    }

    /** Saves a table. */
    @Command(name = "put", description = "Saves a table if nobody saved another one meanwhile")
    public static final class Put extends CliCommand {
        @Arguments(description = "CSV file", title = "file")
        @Required
        String mFile;

        @Option(
                name = "--if-version",
                description = "Version that was edited (default: none, for the first table)",
                title = "if-version")
        long mVersion = -1;

        @Override
        ExitCode run(PrintStream out, PrintStream err) throws Exception {
            String text = readFile(mFile);
            byte[] csv = utf8(text);
            try (FailoverClient client = connectOps()) {
                if (mVersion < 0) {
                    BufferedHttpResponse current = fetchTable(client);
                    if (current.status() != 404) {
                        return refuseWithoutVersion(current, text, out, err);
                    }
                    // If a table was saved in the meantime, version 0 is rejected with status 412.
                    mVersion = 0;
                }
                Map<String, String> headers = opsHeaders();
                headers.put("If-Match", '"' + Long.toString(mVersion) + '"');
                headers.put("Content-Type", "text/csv");
                BufferedHttpResponse answer =
                        client.callWithFailover(
                                false,
                                new ServerCall("PUT", TABLE_PATH, headers, csv, CALL_TIMEOUT_MS));
                if (answer.status() != 200) {
                    return reportRefusal(answer, err);
                }
                out.println("accepted as version " + answer.header("ETag"));
                return ExitCode.OK;
            }
        }

        /**
         * Rejects replacing an existing table when no version was given: assuming the current
         * version could overwrite another operator's save.
         */
        private static ExitCode refuseWithoutVersion(
                BufferedHttpResponse current, String text, PrintStream out, PrintStream err)
                throws TableException {
            if (current.status() != 200) {
                return reportRefusal(current, err);
            }
            String version = current.header("ETag");
            if (text.equals(current.text())) {
                out.println("in force already as version " + version);
                return ExitCode.OK;
            }
            throw new IllegalArgumentException(
                    "version "
                            + version
                            + " is in force: name the version that you edited with --if-version, as"
                            + " 'table get' showed it");
        }
    }

    private static BufferedHttpResponse fetchTable(FailoverClient client)
            throws HttpCallException, InterruptedException {
        return client.callWithFailover(true, ServerCall.of("GET", TABLE_PATH, opsHeaders()));
    }

    private static Map<String, String> opsHeaders() {
        return CliCommand.opsHeaders();
    }

    /**
     * Returns the rows in canonical form, so that formatting differences do not count as changes.
     */
    private static Set<String> normalizedRows(String csv) throws TableException {
        return TableCsv.format(TableCsv.parse(csv))
                .lines()
                .skip(1)
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /**
     * Returns a file's text. Text that is not UTF-8 is rejected, because it would reach the entry
     * with different characters.
     */
    private static String readFile(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("cannot read " + file + ": no such file", e);
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException("cannot read " + file + ": not UTF-8 text", e);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read " + file + ": " + e.getMessage(), e);
        }
    }

    private static ExitCode reportRefusal(BufferedHttpResponse answer, PrintStream err) {
        TableErrorBody error;
        try {
            error = Json.read(answer.text(), TableErrorBody.class);
        } catch (JsonException e) {
            // Some error responses are plain text.
            error = new TableErrorBody(null, null);
        }
        String reason = error.status() == null ? answer.text().strip() : error.status();
        err.println("lycheeroad: " + refusalHeading(answer.status(), reason));
        if (error.problems() != null) {
            error.problems().forEach(p -> err.println(formatProblem(p)));
            if (error.problems().isEmpty()) {
                err.println("none");
            }
        }
        return switch (answer.status()) {
            case 503 -> ExitCode.NOT_RUN;
            case 504 -> ExitCode.UNKNOWN;
            default -> ExitCode.FAILED;
        };
    }

    private static String refusalHeading(int status, String reason) {
        return switch (status) {
            case 412 -> "nothing was saved, as another save came first; cells that differ from it:";
            case 422 -> "the table has mistakes:";
            case 503 -> "nothing was saved (" + reason + ")";
            case 504 -> "it is not known whether the table was saved; compare with 'table diff'";
            default -> "status " + status + ": " + reason;
        };
    }

    private static String formatProblem(TableProblem problem) {
        String row = problem.row() > 0 ? "row " + problem.row() : "table";
        String column = problem.column().isEmpty() ? "" : ", column " + problem.column();
        return row + column + ": " + problem.reason();
    }

    /** The fields of an error response that are printed. */
    record TableErrorBody(String status, List<TableProblem> problems) {}
}
