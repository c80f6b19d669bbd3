package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.jobs.LivenessWorld.Defect;
import org.lycheeroad.coordination.jobs.LivenessWorld.Kind;

/**
 * Simulates jobs and faults of chosen kinds with fixed seeds, and checks that accepted work
 * proceeds once the faults have ended.
 *
 * <p>For longer runs by hand, the system properties {@code liveness.firstSeed}, {@code
 * liveness.seeds}, {@code liveness.kinds} (a list, for {@link #progressForChosenKinds}) override
 * the defaults; with {@code liveness.trace}, that test prints all events.
 */
class LivenessExplorationTest {
    private static final long FIRST_SEED = Long.getLong("liveness.firstSeed", 0);
    private static final int SEEDS = Integer.getInteger("liveness.seeds", 8);
    private static final String KINDS = System.getProperty("liveness.kinds", "");
    private static final int DEFECT_SEEDS = 20;

    private static List<String> explore(Set<Kind> kinds, long firstSeed, int seeds) {
        boolean traced = Boolean.getBoolean("liveness.trace");
        List<String> violations = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            LivenessSimulation simulation =
                    new LivenessSimulation(seed, kinds, Defect.NONE, traced);
            List<String> found = simulation.run();
            simulation.trace().forEach(System.out::println);
            if (!found.isEmpty()) {
                violations.add("seed " + seed + ": " + found.get(0));
            }
        }
        return violations;
    }

    /** Adds to a common load of gangs, lasting tasks and spread steps. */
    private static List<String> exploreUnderLoad(Kind... kinds) {
        Set<Kind> all = EnumSet.of(Kind.LASTING, Kind.GANGS, Kind.SPREADING);
        all.addAll(List.of(kinds));
        return explore(all, FIRST_SEED, SEEDS);
    }

    /** Explores seeds that once showed a violation. */
    private static List<String> exploreSeeds(Set<Kind> kinds, long... seeds) {
        List<String> violations = new ArrayList<>();
        for (long seed : seeds) {
            violations.addAll(explore(kinds, seed, 1));
        }
        return violations;
    }

    /**
     * Guards against delayed calls and evacuations that leave work behind, with all kinds at once
     * but those that the tests below are about.
     */
    @Test
    void progressWithManyKindsOfFaults() {
        Set<Kind> kinds = EnumSet.allOf(Kind.class);
        kinds.removeAll(EnumSet.of(Kind.QUEUE_CHANGES, Kind.RACKS, Kind.LABELS, Kind.RESTARTS));
        assertThat(explore(kinds, FIRST_SEED, SEEDS)).isEmpty();
    }

    /** For runs by hand; without properties, guards against violations without any fault. */
    @Test
    void progressForChosenKinds() {
        Set<Kind> kinds = EnumSet.noneOf(Kind.class);
        Arrays.stream(KINDS.split(",", -1))
                .filter(name -> !name.isEmpty())
                .forEach(name -> kinds.add(Kind.valueOf(name)));
        assertThat(explore(kinds, FIRST_SEED, SEEDS)).isEmpty();
    }

    /** Each test guards against work that stands still after faults of one kind. */
    @Nested
    class UnderLoad {
        /** Guards against jobs and runs that a new owner does not take over. */
        @Test
        void progressWithOwnerChanges() {
            assertThat(exploreUnderLoad(Kind.OWNER_CHANGES)).isEmpty();
        }

        /** Guards against occurrences and cancellations that a new owner loses. */
        @Test
        void progressWithRepeatedAndCancelledJobs() {
            assertThat(exploreUnderLoad(Kind.REPEATED, Kind.CANCELS, Kind.OWNER_CHANGES)).isEmpty();
        }

        /** Guards against lasting tasks and steps that are not retried. */
        @Test
        void progressWithFailingTasks() {
            assertThat(exploreUnderLoad(Kind.TASK_FAILURES)).isEmpty();
        }

        /** Guards against hopeless jobs that take the workers from the others. */
        @Test
        void progressWithHopelessJobs() {
            assertThat(exploreUnderLoad(Kind.HOPELESS)).isEmpty();
        }

        /** Guards against quarantines that outlast the failures of workers. */
        @Test
        void progressWithFailingWorkers() {
            assertThat(exploreUnderLoad(Kind.FAILING_WORKERS)).isEmpty();
        }

        /** Guards against back-offs that outlast the refusals of workers. */
        @Test
        void progressWithRefusals() {
            assertThat(exploreUnderLoad(Kind.REFUSALS)).isEmpty();
        }

        /** Guards against runs that are held for workers that were out of reach. */
        @Test
        void progressWithSilentWorkers() {
            assertThat(exploreUnderLoad(Kind.SILENCE)).isEmpty();
        }

        /** Guards against runs whose start or stop was not answered and that never end. */
        @Test
        void progressWithUnansweredCalls() {
            assertThat(exploreUnderLoad(Kind.LOST_ANSWERS, Kind.LATE_CALLS)).isEmpty();
        }

        /** Guards against runs that stay on workers that are gone. */
        @Test
        void progressWithLostWorkers() {
            assertThat(exploreUnderLoad(Kind.LOSSES)).isEmpty();
        }

        /** Guards against runs that stay on workers that have left. */
        @Test
        void progressWithDrainingWorkers() {
            assertThat(exploreUnderLoad(Kind.DRAINS)).isEmpty();
        }

        /** Guards against tickets that expire before a step or a gang has enough of them. */
        @Test
        void progressWithPolicy() {
            assertThat(exploreUnderLoad(Kind.POLICY, Kind.POLICY_FAULTS)).isEmpty();
        }

        /** Guards against jobs that are held up by guarantees of teams. */
        @Test
        void progressWithGuarantees() {
            assertThat(exploreUnderLoad(Kind.GUARANTEES)).isEmpty();
        }
    }

    /** Guards against jobs whose queue is dropped and that a new owner takes over. */
    @Test
    void progressWithDroppedQueuesAndOwnerChanges() {
        assertThat(exploreSeeds(EnumSet.of(Kind.QUEUE_CHANGES, Kind.OWNER_CHANGES), 2, 4, 5))
                .isEmpty();
    }

    /** Guards against jobs of a queue that no configuration the owner has seen contains. */
    @Test
    void progressWithQueuesThatTheOwnerNeverSaw() {
        assertThat(exploreSeeds(EnumSet.of(Kind.QUEUE_CHANGES), 104, 185)).isEmpty();
    }

    /** Guards against lasting tasks that wait for the rack of their data while it is full. */
    @Test
    void progressWithDataOnFullRacks() {
        assertThat(exploreSeeds(EnumSet.of(Kind.LASTING, Kind.RACKS), 4, 5, 19)).isEmpty();
    }

    /** Guards against steps that wait for a full rack, as half of the workers they may use are. */
    @Test
    void progressOfJobsWithDataOnFullRacks() {
        Set<Kind> kinds = EnumSet.of(Kind.LASTING, Kind.RACKS, Kind.POLICY);
        assertThat(exploreSeeds(kinds, 0, 1, 8)).isEmpty();
    }

    /** Guards against restarted workers that stay barred although no call can come late. */
    @Test
    void progressWithRestartsUnderTheSameId() {
        assertThat(exploreSeeds(EnumSet.of(Kind.LASTING, Kind.RESTARTS), 5, 18, 39)).isEmpty();
    }

    /** Guards against tasks and gangs that are held by a lost worker that had restarted before. */
    @Test
    void progressWithRunsOnLostWorkersThatHadRestarted() {
        Set<Kind> kinds = EnumSet.of(Kind.OWNER_CHANGES, Kind.RESTARTS, Kind.LOSSES);
        assertThat(exploreSeeds(kinds, 66, 74)).isEmpty();
        kinds.add(Kind.GANGS);
        assertThat(exploreSeeds(kinds, 56)).isEmpty();
    }

    /** Guards against a quarantine that outlasts the failures of a worker whose label is rare. */
    @Test
    void progressOnLabeledWorkersThatFailed() {
        Set<Kind> kinds = EnumSet.of(Kind.LASTING, Kind.LABELS, Kind.FAILING_WORKERS);
        assertThat(exploreSeeds(kinds, 1, 40)).isEmpty();
    }

    /** Guards against small steps that wait for seconds beside workers reserved for gangs. */
    @Test
    void progressBesideReservationsForGangs() {
        assertThat(exploreSeeds(EnumSet.of(Kind.GANGS, Kind.LABELS), 288)).isEmpty();
    }

    /** Each injected defect must be detected; otherwise the simulation would prove nothing. */
    @Nested
    class InjectedDefects {
        @Test
        void forgottenJobIsDetected() {
            assertThat(detects(Defect.FORGET_JOB, Kind.OWNER_CHANGES)).isTrue();
        }

        @Test
        void leasesThatNeverExpireAreDetected() {
            assertThat(detects(Defect.KEEP_LEASES, Kind.LOSSES)).isTrue();
        }

        @Test
        void policyWithoutAnswersIsDetected() {
            assertThat(detects(Defect.MUTE_POLICY, Kind.POLICY)).isTrue();
        }

        private static boolean detects(Defect defect, Kind kind) {
            for (long seed = 0; seed < DEFECT_SEEDS; seed++) {
                Set<Kind> kinds = EnumSet.of(Kind.LASTING, kind);
                boolean found =
                        new LivenessSimulation(seed, kinds, defect, false)
                                .run().stream().anyMatch(v -> v.contains("STANDSTILL"));
                if (found) {
                    return true;
                }
            }
            return false;
        }
    }
}
