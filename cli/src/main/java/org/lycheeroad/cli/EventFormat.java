package org.lycheeroad.cli;

import java.util.Locale;
import java.util.Optional;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.state.event.TimelineEvent;

/** Parses events from log lines and formats them for display. */
final class EventFormat {
    private EventFormat() {}

    /**
     * Parses the event in a log line and skips any prefix that a log collector has added; returns
     * empty if the line holds no event.
     */
    static Optional<TimelineEvent> parseLogLine(String line) {
        int jsonStart = line.indexOf('{');
        if (jsonStart < 0) {
            return Optional.empty();
        }
        try {
            TimelineEvent event = Json.read(line.substring(jsonStart), TimelineEvent.class);
            return event.at() == null || event.entry() == null
                    ? Optional.empty()
                    : Optional.of(event);
        } catch (JsonException e) {
            // Logs also contain lines that are not events.
            return Optional.empty();
        }
    }

    static String format(TimelineEvent event) {
        StringBuilder line = new StringBuilder();
        line.append(
                String.format(
                        Locale.ROOT,
                        "%d.%03d %s %d",
                        event.at().millis(),
                        event.at().counter(),
                        event.entry(),
                        event.number()));
        appendField(line, "job", event.job());
        appendField(line, "request", event.request());
        appendField(line, "team", event.team());
        return line.append(' ').append(event.text()).toString();
    }

    private static void appendField(StringBuilder line, String name, String value) {
        if (value != null && !value.isEmpty()) {
            line.append(' ').append(name).append('=').append(value);
        }
    }
}
