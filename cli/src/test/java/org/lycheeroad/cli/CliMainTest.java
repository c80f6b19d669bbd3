package org.lycheeroad.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.event.TimelineEvent;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.time.HybridTimestamp;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpServer;

/**
 * Tests the exit codes that scripts rely on, the order of the timeline, and the load statistics.
 */
class CliMainTest {
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();

    @Test
    void usageErrorsExitWithUsageCode() {
        assertThat(run("no-such-command")).isEqualTo(ExitCode.USAGE);
        assertThat(run("table", "put")).isEqualTo(ExitCode.USAGE);
        assertThat(run("status", "job", "--entry", "nowhere")).isEqualTo(ExitCode.USAGE);
        assertThat(run("bench", "--team", "t", "--kind", "k")).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void helpExitsWithOk() {
        assertThat(run("help", "table", "put")).isEqualTo(ExitCode.OK);
        assertThat(mOutput.toString(StandardCharsets.UTF_8)).contains("table put");
    }

    @Test
    void unreachableEntryExitsWithNotRun() {
        assertThat(run("request", "k", "--team", "t", "--entry", "127.0.0.1:1"))
                .isEqualTo(ExitCode.NOT_RUN);
    }

    /**
     * Guards against reporting "unknown job" when the first entry has not yet learned of a new job.
     */
    @Test
    void statusTriesNextEntryWhenJobIsUnknown() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HttpServer entryWithoutJob =
                startServer(group, 404, "{\"field\":\"job\",\"reason\":\"unknown job\"}");
        HttpServer entryWithJob =
                startServer(group, 200, "{\"job\":\"j\",\"state\":\"DONE\",\"reason\":\"\"}");
        String entries = entryWithoutJob.address() + "," + entryWithJob.address();
        assertThat(run("status", "j", "--entry", entries)).isEqualTo(ExitCode.OK);
        String entriesWithoutJob = entryWithoutJob.address() + "," + entryWithoutJob.address();
        assertThat(run("status", "j", "--entry", entriesWithoutJob)).isEqualTo(ExitCode.FAILED);
        assertThat(mOutput.toString(StandardCharsets.UTF_8)).contains("j DONE", "unknown job");
        entryWithoutJob.stop();
        entryWithJob.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Guards against a timeline that looks complete although an entry has overwritten older events.
     */
    @Test
    void timelineReportsOverwrittenEvents() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HttpServer entry = startServer(group, 200, "{\"next\":9,\"lost\":true,\"events\":[]}");
        assertThat(run("timeline", "--ops", entry.address().toString())).isEqualTo(ExitCode.OK);
        assertThat(mOutput.toString(StandardCharsets.UTF_8)).contains("overwritten older events");
        entry.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static HttpServer startServer(EventLoopGroup group, int status, String json)
            throws Exception {
        HttpServer server =
                new HttpServer(
                        new HostPort("127.0.0.1", 0),
                        group,
                        1_024,
                        call -> call.respondJson(status, json));
        server.start();
        return server;
    }

    @Test
    void outcomesMapToExitCodes() {
        assertThat(ExitCode.fromOutcome("not-run")).isEqualTo(ExitCode.NOT_RUN);
        assertThat(ExitCode.fromOutcome("NOT_RUN")).isEqualTo(ExitCode.NOT_RUN);
        assertThat(ExitCode.fromOutcome("UNKNOWN")).isEqualTo(ExitCode.UNKNOWN);
        assertThat(ExitCode.fromOutcome("FAILED")).isEqualTo(ExitCode.FAILED);
        assertThat(ExitCode.fromOutcome("DONE")).isEqualTo(ExitCode.OK);
    }

    @Test
    void timelineIsSortedByHybridTimestamp() {
        TimelineCommand command = new TimelineCommand();
        command.mJob = "j";
        List<TimelineEvent> merged =
                command.filterAndSort(
                        List.of(
                                event(5, 1, "a", "j", 3),
                                event(5, 0, "b", "j", 2),
                                event(4, 9, "b", "j", 1),
                                event(1, 0, "a", "other", 0)));
        assertThat(merged).extracting(TimelineEvent::number).containsExactly(1, 2, 3);
    }

    /** Guards against percentiles or plotted points that differ from the recorded latencies. */
    @Test
    void formattedStatsAndPlotMatchRecordedLatencies() {
        LoadStats result = new LoadStats();
        for (int i = 0; i < 400; i++) {
            boolean slow = i >= 200 && i < 204;
            result.record(i * 10_000_000L, slow ? 200_000 : 50_000, "done");
        }
        assertThat(result.formatRow("check").trim().split(" +"))
                .containsSequence("400", "400", "0", "0", "0", "0", "50.0", "50.0", "50.0")
                .endsWith("200.1", "200.1");
        // Four seconds are plotted from x = 50 to x = 750; 200 ms is at y = 66 and 0 ms at y = 350.
        assertThat(LatencyPlot.toSvg(Map.of("check", result)))
                .contains("points=\"137.5,279.0 312.5,279.0 487.5,279.0 662.5,279.0 \"")
                .contains("points=\"137.5,279.0 312.5,279.0 487.5,66.0 662.5,279.0 \"");
    }

    @Test
    void swingFactorAppliesToMiddleThird() {
        List<LoadSchedule.ScheduledRequest> requests =
                LoadSchedule.generate(List.of(LoadSchedule.KindRate.parse("k=100")), 30, 10, 7);
        long countBefore = requests.stream().filter(s -> s.offsetNanos() < 10_000_000_000L).count();
        long countDuring =
                requests.stream()
                        .filter(s -> s.offsetNanos() >= 10_000_000_000L)
                        .filter(s -> s.offsetNanos() < 20_000_000_000L)
                        .count();
        assertThat(countBefore).isBetween(900L, 1_100L);
        assertThat(countDuring).isBetween(9_700L, 10_300L);
    }

    private ExitCode run(String... args) {
        PrintStream out = new PrintStream(mOutput, true, StandardCharsets.UTF_8);
        return CliMain.run(args, out, out);
    }

    private static TimelineEvent event(
            long millis, int counter, String entry, String job, int number) {
        return new TimelineEvent(
                new HybridTimestamp(millis, counter), new EntryId(entry), number, job, "", "", "");
    }
}
