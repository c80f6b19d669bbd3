package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.jobs.FaultModel.Defect;

/**
 * Explores owner changes, late orders, lost answers and cut workers with fixed seeds.
 *
 * <p>Checked: no two runs of a task at once, no start after a noted end, every accepted job ends.
 */
class FaultExplorationTest {
    private static final int SEEDS = 300;
    private static final int JOBS = 12;
    private static final int WORKERS = 4;
    private static final long FAULTY_MS = 30_000;

    private static List<String> explore(Defect defect, int seeds) {
        List<String> broken = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            List<String> found = new FaultModel(seed, WORKERS, defect).run(JOBS, FAULTY_MS);
            if (!found.isEmpty()) {
                broken.add("seed " + seed + ": " + found.get(0));
            }
        }
        return broken;
    }

    /** Guards every path of the protocol between owner, store and workers. */
    @Test
    void promisesHoldUnderFaults() {
        assertThat(explore(Defect.NONE, SEEDS)).isEmpty();
    }

    /** Each defect must be found, or the exploration proves nothing. */
    @Nested
    class BrokenVariants {
        @Test
        void startBeforeTheRecordIsFound() {
            assertThat(explore(Defect.START_UNRECORDED, SEEDS)).isNotEmpty();
        }

        @Test
        void observingUnsavedEndsIsFound() {
            assertThat(explore(Defect.OBSERVE_UNSAVED, SEEDS)).isNotEmpty();
        }

        @Test
        void givingRunsUpBeforeTheirLeaseIsFound() {
            assertThat(explore(Defect.LAPSE_EARLY, SEEDS)).isNotEmpty();
        }
    }
}
