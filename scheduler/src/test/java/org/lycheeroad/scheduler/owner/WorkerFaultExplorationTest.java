package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.scheduler.owner.WorkerFaultSimulation.Defect;
import org.lycheeroad.scheduler.owner.WorkerFaultSimulation.Fault;

/**
 * Simulates faults between owners and workers with fixed seeds, by classes of faults.
 *
 * <p>Checked rules: a task has at most one run at a time, no run starts after its task's success,
 * and every accepted job ends. For longer runs by hand, the system properties {@code
 * workerFaults.firstSeed}, {@code workerFaults.seeds} and {@code workerFaults.without} (a list of
 * faults, for {@link #rulesHoldForChosenFaults} and {@link
 * #rulesHoldWhenOwnersShareTheWaitForLeases}) override the defaults; with {@code
 * workerFaults.trace}, that test prints all events.
 */
class WorkerFaultExplorationTest {
    private static final long FIRST_SEED = Long.getLong("workerFaults.firstSeed", 0);
    private static final int SEEDS = Integer.getInteger("workerFaults.seeds", 50);
    private static final String WITHOUT = System.getProperty("workerFaults.without", "RESTARTS");
    private static final int DEFECT_SEEDS = 100;

    /** Guards against two runs of a task at once, lost successes and lost jobs. */
    @Test
    void rulesHoldForChosenFaults() {
        assertThat(explore(chosenFaults(), FIRST_SEED, SEEDS)).isEmpty();
    }

    private static Set<Fault> chosenFaults() {
        List<String> without = List.of(WITHOUT.split(",", -1));
        Set<Fault> faults = EnumSet.allOf(Fault.class);
        faults.removeIf(fault -> without.contains(fault.name()));
        return faults;
    }

    /** Guards against the same where clocks were read long ago, but are exact. */
    @Test
    void rulesHoldWithExactClocksAndIdlePhases() {
        assertThat(explore(allBut(Fault.RESTARTS, Fault.SLOW_CLOCKS), FIRST_SEED, SEEDS)).isEmpty();
    }

    /** Guards against the same where workers restart, but no call is carried out late. */
    @Test
    void rulesHoldWithRestartsAndWithoutLateCalls() {
        Set<Fault> faults = allBut(Fault.SLOW_CLOCKS, Fault.LATE_CALLS);
        assertThat(explore(faults, FIRST_SEED, SEEDS)).isEmpty();
    }

    /**
     * Guards against the start of a run that is dropped between its order and the next pass, by a
     * poll that fails in that time after all earlier leases have expired.
     */
    @Test
    void rulesHoldForStartsThatWaitWhileAPollFails() {
        Set<Fault> faults = allBut(Fault.RESTARTS, Fault.IDLE_PHASES);
        assertThat(explore(faults, 2_135, 1)).isEmpty();
        assertThat(explore(faults, 6_124, 1)).isEmpty();
    }

    /**
     * Guards against leases beyond the owner's bound by calls that arrive seconds after they were
     * sent, with an expiry computed from an old reading of a slow clock.
     */
    @Test
    void rulesHoldForLateCallsWithAnOldClockReading() {
        Set<Fault> faults =
                EnumSet.of(
                        Fault.SLOW_CLOCKS, Fault.IDLE_PHASES, Fault.LATE_CALLS, Fault.PARTITIONS);
        assertThat(explore(faults, 50, 3)).isEmpty();
        assertThat(explore(faults, 398, 3)).isEmpty();
    }

    /** Guards against the same by calls that are delayed for less than a second. */
    @Test
    void rulesHoldForDelayedCallsWithAnOldClockReading() {
        assertThat(explore(allBut(Fault.RESTARTS, Fault.LATE_CALLS), 120, 3)).isEmpty();
    }

    /**
     * Guards against the removal of a run by the first report of a new incarnation that was made
     * before the start arrived there, and that comes after the answer to the start.
     */
    @Test
    void rulesHoldForStartsThatOvertakeTheReportOfARestart() {
        Set<Fault> faults = EnumSet.of(Fault.RESTARTS, Fault.DELAYS);
        assertThat(explore(faults, 1_190, 1)).isEmpty();
        assertThat(explore(faults, 1_239, 1)).isEmpty();
        assertThat(explore(faults, 1_345, 1)).isEmpty();
    }

    /** Guards against late starts in a new incarnation, which has not received the stop. */
    @Test
    void rulesHoldForLateStartsAfterARestart() {
        Set<Fault> faults = EnumSet.of(Fault.RESTARTS, Fault.LATE_CALLS);
        assertThat(explore(faults, 11, 1)).isEmpty();
        assertThat(explore(faults, 23, 1)).isEmpty();
        assertThat(explore(faults, 64, 1)).isEmpty();
    }

    /** Guards against the same for runs whose end or stop the incarnation before had confirmed. */
    @Test
    void rulesHoldForLateStartsOfEndedRunsAfterARestart() {
        Set<Fault> faults = EnumSet.of(Fault.RESTARTS, Fault.LATE_CALLS);
        assertThat(explore(faults, 310, 1)).isEmpty();
        assertThat(explore(faults, 944, 1)).isEmpty();
    }

    /** Guards against the same on a worker that the owner cannot reach. */
    @Test
    void rulesHoldForLateStartsAfterARestartOutOfReach() {
        Set<Fault> faults = EnumSet.of(Fault.RESTARTS, Fault.LATE_CALLS, Fault.PARTITIONS);
        assertThat(explore(faults, 102, 1)).isEmpty();
        assertThat(explore(faults, 105, 1)).isEmpty();
    }

    /** Guards against the same by orders of earlier owners, which a new incarnation obeys. */
    @Test
    void rulesHoldForLateStartsOfEarlierOwnersAfterARestart() {
        Set<Fault> faults = allBut(Fault.SLOW_CLOCKS);
        assertThat(explore(faults, 660, 1)).isEmpty();
        assertThat(explore(faults, 729, 1)).isEmpty();
    }

    /** Guards against late polls that extend the lease of a new incarnation. */
    @Test
    void rulesHoldForLateLeasesAfterARestart() {
        Set<Fault> faults = EnumSet.of(Fault.RESTARTS, Fault.LATE_CALLS, Fault.PARTITIONS);
        assertThat(explore(faults, 947, 1)).isEmpty();
    }

    /** Guards against late polls by which a new incarnation forgets ends that it has not listed. */
    @Test
    void rulesHoldForLateAcknowledgementsAfterARestart() {
        Set<Fault> faults = EnumSet.of(Fault.RESTARTS, Fault.LATE_CALLS, Fault.PARTITIONS);
        assertThat(explore(faults, 44, 1)).isEmpty();
    }

    /**
     * Guards against calls to an earlier incarnation that the new one carries out before the owner
     * has learned of the restart, or after it has dropped the run.
     */
    @Test
    void rulesHoldForLateCallsBeforeARestartIsKnown() {
        assertThat(explore(allBut(Fault.IDLE_PHASES), 10_039, 1)).isEmpty();
        assertThat(explore(allBut(Fault.IDLE_PHASES), 10_169, 1)).isEmpty();
        assertThat(explore(allBut(Fault.IDLE_PHASES), 10_764, 1)).isEmpty();
    }

    /**
     * Guards against tasks that start elsewhere too early, as the next owner goes on with the wait
     * for the leases of a silent worker.
     */
    @Test
    void rulesHoldWhenOwnersShareTheWaitForLeases() {
        List<String> violations = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            WorkerFaultSimulation simulation =
                    new WorkerFaultSimulation(seed, chosenFaults(), Defect.NONE, false);
            violations.addAll(simulation.withSilentWorkerRecord().run());
        }
        assertThat(violations).isEmpty();
    }

    /** Each injected defect must be detected; otherwise the simulation would prove nothing. */
    @Nested
    class InjectedDefects {
        @Test
        void slowerClocksThanAssumedLetATaskRunTwiceAtOnce() {
            assertThat(findViolation(Fault.PARTITIONS, Defect.VERY_SLOW_CLOCKS, "TWICE")).isTrue();
        }

        @Test
        void startBeforeSaveLetsATaskRunTwiceAtOnce() {
            assertThat(findViolation(Fault.OWNER_CHANGES, Defect.START_BEFORE_SAVE, "TWICE"))
                    .isTrue();
        }

        @Test
        void acknowledgingUnsavedEndsRepeatsSuccesses() {
            assertThat(findViolation(Fault.OWNER_CHANGES, Defect.ACKNOWLEDGE_UNSAVED_ENDS, "AGAIN"))
                    .isTrue();
        }

        @Test
        void forgottenJobsDoNotEnd() {
            assertThat(findViolation(Fault.OWNER_CHANGES, Defect.FORGET_JOBS, "UNENDED")).isTrue();
        }
    }

    private static boolean findViolation(Fault fault, Defect defect, String rule) {
        for (long seed = 0; seed < DEFECT_SEEDS; seed++) {
            WorkerFaultSimulation simulation =
                    new WorkerFaultSimulation(seed, EnumSet.of(fault), defect, false);
            if (simulation.run().stream().anyMatch(violation -> violation.contains(rule))) {
                return true;
            }
        }
        return false;
    }

    private static Set<Fault> allBut(Fault first, Fault... others) {
        return EnumSet.complementOf(EnumSet.of(first, others));
    }

    private static List<String> explore(Set<Fault> faults, long firstSeed, int seeds) {
        boolean traced = Boolean.getBoolean("workerFaults.trace");
        List<String> violations = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            WorkerFaultSimulation simulation =
                    new WorkerFaultSimulation(seed, faults, Defect.NONE, traced);
            List<String> found = simulation.run();
            simulation.trace().forEach(System.out::println);
            if (!found.isEmpty()) {
                violations.add("seed " + seed + ": " + found.get(0));
            }
        }
        return violations;
    }
}
