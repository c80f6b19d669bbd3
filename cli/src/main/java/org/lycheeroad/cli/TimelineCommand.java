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
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpCallException;

/** Prints the events of all entries in the order of their hybrid timestamps. */
@Command(name = "timeline", description = "Shows the events of all entries in one order")
public final class TimelineCommand extends CliCommand {
    /** Number of events in a full page; a page with fewer is the last one. */
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
        try (FailoverClient client = connectOps()) {
            for (HostPort server : client.servers()) {
                try {
                    events.addAll(fetchEvents(client, server, err));
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

    /** Returns the events that match the options, ordered by hybrid timestamp and then by entry. */
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

    /** Fetches the events of an entry page by page. */
    private List<TimelineEvent> fetchEvents(FailoverClient client, HostPort server, PrintStream err)
            throws HttpCallException, InterruptedException, IOException, JsonException {
        List<TimelineEvent> events = new ArrayList<>();
        long after = 0;
        while (true) {
            BufferedHttpResponse answer =
                    client.call(
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
            // The entry keeps recording events, so reading stops at the first page that is not
            // full.
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

    private static boolean matches(String expected, String actual) {
        return expected == null || expected.equals(actual);
    }
}
