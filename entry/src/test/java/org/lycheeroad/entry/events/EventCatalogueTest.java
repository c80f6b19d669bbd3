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
    /** Guards against undocumented events, and against event numbers that change or repeat. */
    @Test
    void documentationListsExactlyTheEventCodes() throws Exception {
        Path catalogue = Path.of("..", "docs", "events.md");
        if (!Files.exists(catalogue)) {
            catalogue = Path.of("docs", "events.md");
        }
        List<String> documented =
                Files.readAllLines(catalogue).stream()
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
        List<String> defined =
                Arrays.stream(EventCode.values())
                        .map(code -> code.number() + " " + code.name() + " " + code.text())
                        .toList();
        assertThat(documented).containsExactlyElementsOf(defined);
        assertThat(new HashSet<>(Arrays.stream(EventCode.values()).map(EventCode::number).toList()))
                .hasSize(defined.size());
    }
}
