package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.jobs.FaultSimulation.Defect;
import org.lycheeroad.coordination.jobs.FaultSimulation.Workload;

/**
 * Simulates owner changes, late orders, lost answers and partitioned workers with fixed seeds.
 *
 * <p>Checked invariants: a task has at most one run at a time, no run starts after its task's
 * success was acknowledged, every accepted job ends, no run outlasts its job, and no start is sent
 * to a failure domain that the owner knows to be evacuated.
 */
class FaultExplorationTest {
    private static final int SEEDS = 300;
    private static final int JOBS = 12;
    private static final int WORKERS = 4;
    private static final long FAULT_PERIOD_MS = 30_000;

    private static List<String> explore(Defect defect, int seeds) {
        return explore(defect, Workload.SINGLE_RUNS, seeds);
    }

    private static List<String> explore(Defect defect, Workload workload, int seeds) {
        return explore(seed -> new FaultSimulation(seed, WORKERS, defect, workload), seeds);
    }

    private static List<String> exploreEvacuations(Defect defect, Workload workload, int seeds) {
        return explore(
                seed -> new FaultSimulation(seed, WORKERS, defect, workload).withEvacuations(),
                seeds);
    }

    private static List<String> explore(IntFunction<FaultSimulation> simulations, int seeds) {
        List<String> violations = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            List<String> found = simulations.apply(seed).run(JOBS, FAULT_PERIOD_MS);
            if (!found.isEmpty()) {
                violations.add("seed " + seed + ": " + found.get(0));
            }
        }
        return violations;
    }

    /** Guards against violations in the protocol between owner, store and workers. */
    @Test
    void invariantsHoldUnderFaults() {
        assertThat(explore(Defect.NONE, SEEDS)).isEmpty();
    }

    /** Guards against occurrences that are lost, and runs that outlast a cancelled job. */
    @Test
    void invariantsHoldForRepeatedAndCancelledJobs() {
        assertThat(explore(Defect.NONE, Workload.REPEATED_AND_CANCELLED, SEEDS)).isEmpty();
    }

    /**
     * Guards against starts in evacuated failure domains, and jobs that are lost by evacuations.
     */
    @Test
    void invariantsHoldDuringEvacuations() {
        assertThat(exploreEvacuations(Defect.NONE, Workload.SINGLE_RUNS, SEEDS)).isEmpty();
    }

    @Test
    void invariantsHoldForRepeatedAndCancelledJobsDuringEvacuations() {
        assertThat(exploreEvacuations(Defect.NONE, Workload.REPEATED_AND_CANCELLED, SEEDS))
                .isEmpty();
    }

    /** Each injected defect must be detected; otherwise the simulation would prove nothing. */
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

        @Test
        void newOwnerWithoutTheEvacuationsIsDetected() {
            assertThat(exploreEvacuations(Defect.FORGET_EVACUATIONS, Workload.SINGLE_RUNS, SEEDS))
                    .isNotEmpty();
        }
    }
}
