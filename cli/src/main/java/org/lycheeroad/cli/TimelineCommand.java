package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.lycheeroad.protocol.api.EventPage;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.state.event.TimelineEvent;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpAnswer;
import org.lycheeroad.transport.http.HttpCallException;

/** Merges the events of all entries by hybrid time. */
@Command(name = "timeline", description = "Shows the events of all entries in one order")
public final class TimelineCommand extends CliCommand {
    /** The size of an entry's full page. */
    private static final int MAX_EVENTS_PER_PAGE = 1_000;

    @Option(name = "--job", description = "Only events of this job", title = "job")
    String mJob;

    @Option(name = "--request", description = "Only events of this request", title = "request")
    String mRequest;

    @Option(name = "--team", description = "Only events of this team", title = "team")
    String mTeam;

    @Option(name = "--from", description = "Only events of this entry", title = "from")
    String mFromEntry;

    @Override
    ExitCode run(PrintStream out, PrintStream err) throws Exception {
        List<TimelineEvent> events = new ArrayList<>();
        boolean complete = true;
        try (FailoverClient servers = connectOps()) {
            for (HostPort server : servers.servers()) {
                try {
                    events.addAll(fetchEvents(servers, server, err));
                } catch (HttpCallException | IOException | JsonException e) {
                    complete = false;
                    err.println("no events of " + server + ": " + e.getMessage());
                }
            }
        }
        for (TimelineEvent event : filterAndSort(events)) {
            out.println(EventFormat.format(event));
        }
        return complete ? ExitCode.OK : ExitCode.FAILED;
    }

    /** Returns the wanted events in the order of their hybrid times. */
    List<TimelineEvent> filterAndSort(List<TimelineEvent> events) {
        return events.stream()
                .filter(e -> matches(mJob, e.job()))
                .filter(e -> matches(mRequest, e.request()))
                .filter(e -> matches(mTeam, e.team()))
                .filter(e -> matches(mFromEntry, e.entry().value()))
                .sorted(
                        Comparator.comparing(TimelineEvent::at)
                                .thenComparing(e -> e.entry().value()))
                .toList();
    }

    /** Reads all pages of an entry; a page ends after a number of events. */
    private List<TimelineEvent> fetchEvents(
            FailoverClient servers, HostPort server, PrintStream err)
            throws HttpCallException, InterruptedException, IOException, JsonException {
        List<TimelineEvent> events = new ArrayList<>();
        long after = 0;
        while (true) {
            HttpAnswer answer =
                    servers.call(
                            server,
                            ServerCall.of(
                                    "GET",
                                    "/ops/v1/events?after=" + after + queryFilters(),
                                    opsHeaders()));
            if (answer.status() != 200) {
                throw new IOException(describeError(answer));
            }
            EventPage page = Json.read(answer.text(), EventPage.class);
            if (page.lost()) {
                err.println(server + " has overwritten older events; its log lines have them");
            }
            events.addAll(page.events());
            // The entry goes on recording; what comes after the first short page is not read.
            if (page.next() <= after || page.events().size() < MAX_EVENTS_PER_PAGE) {
                return events;
            }
            after = page.next();
        }
    }

    private String queryFilters() {
        return queryFilter("job", mJob)
                + queryFilter("request", mRequest)
                + queryFilter("team", mTeam);
    }

    private static String queryFilter(String name, String value) {
        return value == null
                ? ""
                : "&" + name + "=" + URLEncoder.encode(value, StandardCharsets.UTF_8);
    }

    private static boolean matches(String wanted, String actual) {
        return wanted == null || wanted.equals(actual);
    }
}
