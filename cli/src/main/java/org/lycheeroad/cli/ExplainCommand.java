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

/** Prints one job's life from collected logs, with the changes around it that bear on all jobs. */
@Command(name = "explain", description = "Shows a job's life from the logs of all daemons")
public final class ExplainCommand extends CliCommand {
    /** Events that concern every job that is alive at the time. */
    private static final Set<Integer> CLUSTER_EVENTS =
            Set.of(
                    EventCode.ENTRY_STARTED.number(),
                    EventCode.ENTRY_DRAINING.number(),
                    EventCode.STORE_ANSWERS.number(),
                    EventCode.STORE_SILENT.number(),
                    EventCode.ROLE_GAINED.number(),
                    EventCode.ROLE_LOST.number(),
                    EventCode.JOBS_LOADED.number());

    /** How long before a job's first event the common ones are shown, in milliseconds. */
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
        List<TimelineEvent> life = jobHistory(mArguments.get(0), events);
        if (life.isEmpty()) {
            err.println("lycheeroad explain: no event of job " + mArguments.get(0));
            return ExitCode.FAILED;
        }
        long begin = life.get(0).at().millis();
        for (TimelineEvent event : life) {
            out.printf(
                    "%+8d ms %s %d %s%n",
                    event.at().millis() - begin, event.entry(), event.number(), event.text());
        }
        return ExitCode.OK;
    }

    /** Returns a job's events and the common ones during its life, in order. */
    static List<TimelineEvent> jobHistory(String job, List<TimelineEvent> events) {
        List<TimelineEvent> own = events.stream().filter(e -> job.equals(e.job())).toList();
        if (own.isEmpty()) {
            return List.of();
        }
        long first =
                own.stream().mapToLong(e -> e.at().millis()).min().orElseThrow()
                        - CLUSTER_EVENTS_LEAD_MS;
        long last = own.stream().mapToLong(e -> e.at().millis()).max().orElseThrow();
        return events.stream()
                .filter(
                        e ->
                                job.equals(e.job())
                                        || (CLUSTER_EVENTS.contains(e.number())
                                                && e.at().millis() >= first
                                                && e.at().millis() <= last))
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
