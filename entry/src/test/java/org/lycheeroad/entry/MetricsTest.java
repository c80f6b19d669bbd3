package org.lycheeroad.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.lycheeroad.transport.store.Mechanism;

/** Tests the control plane's metrics, which include each store mechanism before its first call. */
class MetricsTest {
    @Test
    void storeCallsAndRoleTokensAreReadOnEveryScrape() throws Exception {
        try (EntryFixture fixture = new EntryFixture()) {
            for (Mechanism mechanism : Mechanism.values()) {
                assertThat(fixture.metrics.scrape())
                        .contains(
                                "lycheeroad_store_calls_total{mechanism=\"" + mechanism + "\"} 0");
            }
            fixture.controlPlane.storeCalls.put("JOBS", 3L);
            fixture.controlPlane.heldTokens.put("limits", 17L);
            assertThat(fixture.metrics.scrape())
                    .contains("lycheeroad_store_calls_total{mechanism=\"JOBS\"} 3")
                    .contains("lycheeroad_role_token{role=\"limits\"} 17");
        }
    }
}
