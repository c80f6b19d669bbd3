package org.lycheeroad.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lycheeroad.cli.CliMain;
import org.lycheeroad.cli.ExitCode;
import org.lycheeroad.state.topology.HostPort;

/** Tests the commands of operators and callers against running entries. */
final class CommandLineTest {
    /** An address on which nothing listens: port 1 is reserved. */
    private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

    private static final String REVIEW_ROW_PREFIX = "archive,gang,review,mazowsze,";

    private static Cluster sCluster;

    @TempDir private Path mTempDir;
    private String mOut = "";
    private String mErr = "";

    @BeforeAll
    static void start() throws Exception {
        sCluster =
                Cluster.start(
                        List.of(
                                "mazowsze/warszawa-a",
                                "mazowsze/warszawa-a",
                                "malopolska/krakow-a"));
    }

    @AfterAll
    static void stop() throws Exception {
        if (sCluster != null) {
            sCluster.close();
        }
    }

    @Nested
    final class Table {
        /** Guards against printed tables that cannot be edited and saved again. */
        @Test
        void getPrintsTheTableThatPutSaved() throws Exception {
            putTable(tableWithReviewWeight("5"));
            assertThat(run("table", "get")).isEqualTo(ExitCode.OK);
            assertThat(mOut).isEqualTo(tableWithReviewWeight("5"));
            assertThat(mErr).contains("version \"" + currentTableVersion() + "\"");
            assertThat(run("table", "diff", writeTempFile(mOut))).isEqualTo(ExitCode.OK);
            assertThat(mOut).isEmpty();
        }

        /** Guards against differences in spacing or case that are reported as table differences. */
        @Test
        void diffShowsTheRowsThatDiffer() throws Exception {
            putTable(tableWithReviewWeight("5"));
            String differentTable =
                    tableWithReviewWeight("6").replace("planner,request", " planner , REQUEST");
            assertThat(run("table", "diff", writeTempFile(differentTable)))
                    .isEqualTo(ExitCode.FAILED);
            assertThat(mOut.lines())
                    .containsExactly(
                            "-" + REVIEW_ROW_PREFIX + "5,,,", "+" + REVIEW_ROW_PREFIX + "6,,,");
        }

        /**
         * Guards against errors that are reported one at a time, without row and column, or only
         * after an invalid table was saved.
         */
        @Test
        void errorsNameRowAndColumnAndDoNotChangeTheTable() throws Exception {
            final long version = currentTableVersion();
            String invalidFile =
                    writeTempFile(
                            tableWithReviewWeight("none")
                                    .replace("planner,request,layout-check,mal", "p,x,y,"));
            for (String command : List.of("check", "diff", "put")) {
                List<String> arguments = new ArrayList<>(List.of("table", command, invalidFile));
                if (command.equals("put")) {
                    arguments.addAll(List.of("--if-version", Long.toString(version)));
                }
                assertThat(run(arguments.toArray(new String[0]))).isEqualTo(ExitCode.FAILED);
                assertThat(mErr)
                        .as(command)
                        .contains("row 2, column work: must be", "row 15, column weight: must be");
            }
            assertThat(currentTableVersion()).isEqualTo(version);
            assertThat(run("table", "check", writeTempFile(tableWithReviewWeight("5"))))
                    .isEqualTo(ExitCode.OK);
        }

        /** Guards against a save that silently overwrites another operator's changes. */
        @Test
        void versionConflictNamesTheCellsThatDiffer() throws Exception {
            putTable(tableWithReviewWeight("5"));
            final long baseVersion = currentTableVersion();
            putTable(tableWithReviewWeight("6"));
            String ownTable = writeTempFile(tableWithReviewWeight("7"));
            assertThat(run("table", "put", ownTable, "--if-version", Long.toString(baseVersion)))
                    .isEqualTo(ExitCode.FAILED);
            assertThat(mErr).contains("row 15, column weight: yours is '7', stored is '6'");
            assertThat(run("table", "put", ownTable)).isEqualTo(ExitCode.USAGE);
            assertThat(mErr).contains("--if-version", Long.toString(currentTableVersion()));
            run("table", "get");
            assertThat(mOut).isEqualTo(tableWithReviewWeight("6"));
            assertThat(run("table", "put", writeTempFile(tableWithReviewWeight("6"))))
                    .isEqualTo(ExitCode.OK);
            assertThat(currentTableVersion()).isEqualTo(baseVersion + 1);
        }

        /** Guards against error messages that do not name the unreadable file. */
        @Test
        void errorNamesTheUnreadableFile() throws Exception {
            Path latin = mTempDir.resolve("latin.csv");
            Files.writeString(latin, "monta\u00f3", StandardCharsets.ISO_8859_1);
            for (String file : List.of(mTempDir.resolve("none.csv").toString(), latin.toString())) {
                assertThat(run("table", "put", file, "--if-version", "1"))
                        .isEqualTo(ExitCode.USAGE);
                assertThat(mErr).contains("cannot read " + file);
            }
        }

        private void putTable(String csv) throws Exception {
            String version = Long.toString(currentTableVersion());
            assertThat(run("table", "put", writeTempFile(csv), "--if-version", version))
                    .as(mErr)
                    .isEqualTo(ExitCode.OK);
            assertThat(mOut).contains("accepted as version");
        }
    }

    @Nested
    final class Gangs {
        /** Guards against jobs whose status only the accepting entry can return. */
        @Test
        void submittedJobsAreShownByEveryEntry() throws Exception {
            assertThat(run(submitArgs("run-ms=3000"))).as(mErr).isEqualTo(ExitCode.OK);
            String job = mOut.split(" ", 2)[0];
            String otherRegionEntry = EntryProcess.format(sCluster.mEntries.get(2).callerAddress());
            assertThat(
                            run(
                                    "status",
                                    job,
                                    "--wait",
                                    "--entry",
                                    otherRegionEntry + "," + callerAddresses()))
                    .as(mErr)
                    .isEqualTo(ExitCode.OK);
            assertThat(mOut).contains(job + " DONE");
        }

        /** Guards against cancel commands that report a result other than the state of the job. */
        @Test
        void cancelEndsTheJob() throws Exception {
            run(submitArgs("run-ms=60000"));
            String job = mOut.split(" ", 2)[0];
            assertThat(run("cancel", job)).as(mErr).isEqualTo(ExitCode.OK);
            assertThat(mOut).matches("(?s)" + job + " (CANCELLED|NOT_RUN).*");
            assertThat(run("status", job, "--wait")).isNotEqualTo(ExitCode.OK);
            assertThat(run(submitArgs("run-ms=1", "--wait"))).as(mErr).isEqualTo(ExitCode.OK);
            assertThat(mOut).contains(" DONE");
        }

        /** Guards against invalid options that are reported as JSON or only after submission. */
        @Test
        void errorsNameTheOption() {
            assertThat(run(submitArgs("", "--shape", "2by8"))).isEqualTo(ExitCode.USAGE);
            assertThat(mErr).contains("--shape").doesNotContain("{");
            assertThat(run(submitArgs("", "--declared-ms", "-1"))).isEqualTo(ExitCode.USAGE);
            assertThat(mErr).contains("--declared-ms: must not be negative");
            assertThat(run(submitArgs("", "--declared-ms", "soon"))).isEqualTo(ExitCode.USAGE);
            assertThat(mErr).contains("declared-ms");
            assertThat(run("status", "a job")).isEqualTo(ExitCode.USAGE);
            assertThat(run("cancel", "../x")).isEqualTo(ExitCode.USAGE);
            assertThat(run("status", "j-0")).isEqualTo(ExitCode.FAILED);
            assertThat(mErr).contains("unknown job").doesNotContain("{");
        }

        private String[] submitArgs(String payload, String... more) {
            List<String> arguments = new ArrayList<>(List.of("submit", "--team", "planner"));
            arguments.addAll(List.of("--kind", "render", "--region", "mazowsze"));
            if (!Arrays.asList(more).contains("--shape")) {
                arguments.addAll(List.of("--shape", "1x2@worker"));
            }
            arguments.addAll(List.of("--payload", payload));
            arguments.addAll(List.of(more));
            return arguments.toArray(new String[0]);
        }
    }

    @Nested
    final class Requests {
        /** Guards against lost responses, and against rejections that look like responses. */
        @Test
        void requestsAreAnsweredOrRejected() {
            String[] request = {"request", "layout-check", "--team", "planner", "--data", "d"};
            assertThat(run(request)).as(mErr).isEqualTo(ExitCode.OK);
            assertThat(run("request", "layout-check", "--team", "no body"))
                    .isEqualTo(ExitCode.NOT_RUN);
            assertThat(mErr).contains("not-run");
            assertThat(run("request", "no/kind", "--team", "planner")).isEqualTo(ExitCode.USAGE);
            assertThat(run("request", "layout-check", "--team", "planner", "--deadline-ms", "0"))
                    .isEqualTo(ExitCode.USAGE);
            assertThat(mErr).contains("--deadline-ms");
        }

        /**
         * Guards against benchmarks that send no requests or never end, and against jobs that are
         * missing from a timeline with many events.
         */
        @Test
        void benchCountsAllRequestsAndTimelineShowsOneJob() throws Exception {
            assertThat(bench("--seconds", "2")).as(mErr).isEqualTo(ExitCode.OK);
            String[] cells = mOut.lines().toList().get(1).split(" +", -1);
            assertThat(Integer.parseInt(cells[1])).isBetween(1_000, 1_400);
            assertThat(cells[6]).as("broken").isEqualTo("0");
            for (String seconds : List.of("0", "-1", "1e9")) {
                assertThat(bench("--seconds", seconds)).isEqualTo(ExitCode.USAGE);
                assertThat(mErr).contains("--seconds");
            }
            String[] submit = {
                "submit",
                "--team",
                "planner",
                "--kind",
                "render",
                "--region",
                "mazowsze",
                "--shape",
                "1x1@worker",
                "--payload",
                "run-ms=1",
                "--wait"
            };
            assertThat(run(submit)).as(mErr).isEqualTo(ExitCode.OK);
            String job = mOut.split(" ", 2)[0];
            assertThat(run("timeline", "--job", job)).as(mErr).isEqualTo(ExitCode.OK);
            assertThat(mOut).contains("job=" + job).contains("DONE");
        }

        private ExitCode bench(String... more) {
            List<String> arguments = new ArrayList<>(List.of("bench", "--team", "planner"));
            arguments.addAll(List.of("--kind", "layout-check=600", "--work-ms", "1"));
            arguments.addAll(List.of(more));
            return run(arguments.toArray(new String[0]));
        }
    }

    @Nested
    final class UnreachableEntries {
        /** Guards against commands that fail although another entry is reachable. */
        @Test
        void commandsFallBackToTheNextEntry() throws Exception {
            String entries = UNREACHABLE_ADDRESS + "," + callerAddresses();
            String opsFlagValue = UNREACHABLE_ADDRESS + "," + opsAddresses();
            String csv = writeTempFile(tableWithReviewWeight("8"));
            String version = Long.toString(currentTableVersion());
            List<String[]> commands =
                    List.of(
                            args("status", "--ops", opsFlagValue),
                            args("table", "get", "--ops", opsFlagValue),
                            args("table", "check", csv, "--ops", opsFlagValue),
                            args(
                                    "table",
                                    "put",
                                    csv,
                                    "--if-version",
                                    version,
                                    "--ops",
                                    opsFlagValue),
                            args("table", "diff", csv, "--ops", opsFlagValue),
                            args("request", "photo-match", "--team", "montaz", "--entry", entries),
                            args(
                                    "bench",
                                    "--team",
                                    "montaz",
                                    "--kind",
                                    "photo-match=50",
                                    "--seconds",
                                    "0.5",
                                    "--entry",
                                    entries));
            for (String[] command : commands) {
                assertThat(run(command))
                        .as(String.join(" ", command) + ": " + mErr + mOut)
                        .isEqualTo(ExitCode.OK);
            }
            assertThat(run("timeline", "--ops", opsFlagValue)).isEqualTo(ExitCode.FAILED);
            assertThat(mErr).contains("no events of " + UNREACHABLE_ADDRESS);
            assertThat(mOut).contains("entry started");
        }

        /**
         * Guards against wrong "not run" results, and against error messages that print addresses
         * in Java notation.
         */
        @Test
        void commandIsNotRunWhenNoEntryIsReachable() throws Exception {
            assertThat(
                            run(
                                    "table",
                                    "put",
                                    writeTempFile(tableWithReviewWeight("9")),
                                    "--if-version",
                                    "1",
                                    "--ops",
                                    UNREACHABLE_ADDRESS))
                    .isEqualTo(ExitCode.NOT_RUN);
            assertThat(mErr).contains("cannot connect to " + UNREACHABLE_ADDRESS);
        }
    }

    private ExitCode run(String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        if (!all.contains("--ops")) {
            all.addAll(List.of("--ops", opsAddresses()));
        }
        if (!all.contains("--entry")) {
            all.addAll(List.of("--entry", callerAddresses()));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode code =
                CliMain.run(
                        all.toArray(new String[0]),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        mOut = out.toString(StandardCharsets.UTF_8);
        mErr = err.toString(StandardCharsets.UTF_8);
        return code;
    }

    private String writeTempFile(String csv) throws Exception {
        return Files.writeString(Files.createTempFile(mTempDir, "table", ".csv"), csv).toString();
    }

    private static String[] args(String... arguments) {
        return arguments;
    }

    private static long currentTableVersion() throws InterruptedException {
        return sCluster.tableVersion(sCluster.mEntries.get(0));
    }

    private static String callerAddresses() {
        return sCluster.callerAddresses().stream()
                .map(EntryProcess::format)
                .collect(Collectors.joining(","));
    }

    private static String opsAddresses() {
        List<HostPort> operators =
                sCluster.mEntries.stream().map(EntryProcess::opsAddress).toList();
        return operators.stream().map(EntryProcess::format).collect(Collectors.joining(","));
    }

    private static String tableWithReviewWeight(String weight) {
        return Cluster.TABLE.replace(REVIEW_ROW_PREFIX + "1", REVIEW_ROW_PREFIX + weight);
    }
}
