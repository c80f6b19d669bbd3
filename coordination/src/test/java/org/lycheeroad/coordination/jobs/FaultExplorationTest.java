package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.jobs.FaultSimulation.Defect;

/**
 * Explores owner changes, late orders, lost answers and cut workers with fixed seeds.
 *
 * <p>Checked: no two runs of a task at once, no start after a noted end, every accepted job ends.
 */
class FaultExplorationTest {
    private static final int SEEDS = 300;
    private static final int JOBS = 12;
    private static final int WORKERS = 4;
    private static final long FAULT_PERIOD_MS = 30_000;

    private static List<String> explore(Defect defect, int seeds) {
        List<String> broken = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            List<String> found =
                    new FaultSimulation(seed, WORKERS, defect).run(JOBS, FAULT_PERIOD_MS);
            if (!found.isEmpty()) {
                broken.add("seed " + seed + ": " + found.get(0));
            }
        }
        return broken;
    }

    /** Guards every path of the protocol between owner, store and workers. */
    @Test
    void invariantsHoldUnderFaults() {
        assertThat(explore(Defect.NONE, SEEDS)).isEmpty();
    }

    /** Each defect must be found, or the exploration proves nothing. */
    @Nested
    class InjectedDefects {
        @Test
        void startBeforeSaveIsDetected() {
            assertThat(explore(Defect.START_BEFORE_SAVE, SEEDS)).isNotEmpty();
        }

        @Test
        void acknowledgingUnsavedEndsIsDetected() {
            assertThat(explore(Defect.ACKNOWLEDGE_UNSAVED_ENDS, SEEDS)).isNotEmpty();
        }

        @Test
        void earlyLeaseExpiryIsDetected() {
            assertThat(explore(Defect.EXPIRE_LEASES_EARLY, SEEDS)).isNotEmpty();
        }
    }
}
