package org.lycheeroad.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.lycheeroad.transport.store.Mechanism;

/**
 * Guards the metrics of the control plane: every mechanism is there, also before its first call.
 */
class MetricsTest {
    @Test
    void storeCallsAndRoleTokensAreReadOnEveryScrape() throws Exception {
        try (EntryFixture entry = new EntryFixture()) {
            for (Mechanism mechanism : Mechanism.values()) {
                assertThat(entry.metrics.scrape())
                        .contains(
                                "lycheeroad_store_calls_total{mechanism=\"" + mechanism + "\"} 0");
            }
            entry.controlPlane.storeCalls.put("JOBS", 3L);
            entry.controlPlane.heldTokens.put("limits", 17L);
            assertThat(entry.metrics.scrape())
                    .contains("lycheeroad_store_calls_total{mechanism=\"JOBS\"} 3")
                    .contains("lycheeroad_role_token{role=\"limits\"} 17");
        }
    }
}
