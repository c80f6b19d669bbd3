package org.lycheeroad.entry.events;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.event.EventCode;

class EventCatalogueTest {
    /** Guards against events that operators cannot look up, and numbers that change or repeat. */
    @Test
    void documentationListsExactlyTheEventCodes() throws Exception {
        Path page = Path.of("..", "docs", "events.md");
        if (!Files.exists(page)) {
            page = Path.of("docs", "events.md");
        }
        List<String> listed =
                Files.readAllLines(page).stream()
                        .filter(line -> line.matches("\\| \\d+ .*"))
                        .map(line -> line.split("\\|", -1))
                        .map(
                                cells ->
                                        cells[1].trim()
                                                + " "
                                                + cells[2].trim()
                                                + " "
                                                + cells[3].trim())
                        .toList();
        List<String> codes =
                Arrays.stream(EventCode.values())
                        .map(code -> code.number() + " " + code.name() + " " + code.text())
                        .toList();
        assertThat(listed).containsExactlyElementsOf(codes);
        assertThat(new HashSet<>(Arrays.stream(EventCode.values()).map(EventCode::number).toList()))
                .hasSize(codes.size());
    }
}
