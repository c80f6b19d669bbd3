package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.event.TimelineEvent;

/**
 * Prints the history of one job from collected logs, together with the cluster events around it
 * that affect all jobs.
 */
@Command(name = "explain", description = "Shows a job's life from the logs of all daemons")
public final class ExplainCommand extends CliCommand {
    /** Codes of the events that affect every job that is active at the time. */
    private static final Set<Integer> CLUSTER_EVENTS =
            Set.of(
                    EventCode.ENTRY_STARTED.number(),
                    EventCode.ENTRY_DRAINING.number(),
                    EventCode.STORE_ANSWERS.number(),
                    EventCode.STORE_SILENT.number(),
                    EventCode.ROLE_GAINED.number(),
                    EventCode.ROLE_LOST.number(),
                    EventCode.JOBS_LOADED.number(),
                    EventCode.EVACUATION_BEGUN.number(),
                    EventCode.EVACUATION_ENDED.number());

    /** Cluster events are shown from this time before the job's first event. */
    private static final long CLUSTER_EVENTS_LEAD_MS = 5_000;

    @Required
    @Arguments(title = "job", description = "The id of the job, then the log files")
    List<String> mArguments;

    @Override
    ExitCode run(PrintStream out, PrintStream err) throws Exception {
        if (mArguments.size() < 2) {
            err.println("lycheeroad explain: name the job and at least one log file");
            return ExitCode.USAGE;
        }
        List<TimelineEvent> events = new ArrayList<>();
        for (String file : mArguments.subList(1, mArguments.size())) {
            events.addAll(readEvents(Path.of(file)));
        }
        List<TimelineEvent> history = jobHistory(mArguments.get(0), events);
        if (history.isEmpty()) {
            err.println("lycheeroad explain: no event of job " + mArguments.get(0));
            return ExitCode.FAILED;
        }
        long startMs = history.get(0).at().millis();
        for (TimelineEvent event : history) {
            out.printf(
                    "%+8d ms %s %d %s%n",
                    event.at().millis() - startMs, event.entry(), event.number(), event.text());
        }
        return ExitCode.OK;
    }

    /**
     * Returns a job's events and the cluster events around them, ordered by hybrid timestamp and
     * entry.
     */
    static List<TimelineEvent> jobHistory(String job, List<TimelineEvent> events) {
        List<TimelineEvent> jobEvents = events.stream().filter(e -> job.equals(e.job())).toList();
        if (jobEvents.isEmpty()) {
            return List.of();
        }
        long fromMs =
                jobEvents.stream().mapToLong(e -> e.at().millis()).min().orElseThrow()
                        - CLUSTER_EVENTS_LEAD_MS;
        long toMs = jobEvents.stream().mapToLong(e -> e.at().millis()).max().orElseThrow();
        return events.stream()
                .filter(
                        e ->
                                job.equals(e.job())
                                        || (CLUSTER_EVENTS.contains(e.number())
                                                && e.at().millis() >= fromMs
                                                && e.at().millis() <= toMs))
                .sorted(
                        Comparator.comparing(TimelineEvent::at)
                                .thenComparing(e -> e.entry().value()))
                .toList();
    }

    private static List<TimelineEvent> readEvents(Path file) throws IOException {
        try (Stream<String> lines = Files.lines(file, StandardCharsets.UTF_8)) {
            return lines.flatMap(line -> EventFormat.parseLogLine(line).stream()).toList();
        }
    }
}
