package org.lycheeroad.coordination.roles;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests elections under faults in simulated time. */
final class RoleElectionTest {
    /**
     * One fault.
     *
     * @param type selects the fault in {@link #inject}
     * @param firstNode index of the affected entry
     * @param secondNode index of the other entry, for faults that affect two
     * @param millisUntilNext time until the next fault
     */
    record Fault(int type, int firstNode, int secondNode, int millisUntilNext) {}

    @Provide
    Arbitrary<List<Fault>> faults() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 8),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(100, 5_000))
                .as(Fault::new)
                .list()
                .ofMinSize(3)
                .ofMaxSize(14);
    }

    /**
     * Guards against two holders with the same token, a holder that acts after a pause, and a role
     * that has no holder or two holders once all faults have ended.
     */
    @Property(tries = 400, seed = "4217")
    void electionRecoversWithUniqueTokensAfterFaults(
            @ForAll("faults") List<Fault> faults,
            @ForAll @IntRange(min = 2, max = 5) int nodes,
            @ForAll @IntRange(min = 0, max = 300) int maxDelayMillis,
            @ForAll boolean limitsRole,
            @ForAll long seed) {
        RoleSettings settings = limitsRole ? RoleSettings.limits() : RoleSettings.placement();
        RoleSimulation simulation = new RoleSimulation(nodes, settings, maxDelayMillis, seed);
        simulation.run(5_000);
        for (Fault fault : faults) {
            inject(simulation, fault);
            simulation.run(fault.millisUntilNext());
        }
        simulation.repairAll();
        simulation.run(12_000);
        assertSingleHolder(simulation);
    }

    @Provide
    Arbitrary<List<Fault>> linkFaults() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(50, 700))
                .as(Fault::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(30);
    }

    /**
     * Guards against an entry that votes for two candidates with the same token. This can elect
     * both only while two disconnected candidates compete for the same voters.
     */
    @Property(tries = 200, seed = "4218")
    void disconnectedCandidatesNeverWinTheSameToken(
            @ForAll("linkFaults") List<Fault> faults,
            @ForAll @IntRange(min = 3, max = 5) int nodes,
            @ForAll @IntRange(min = 0, max = 300) int maxDelayMillis,
            @ForAll boolean limitsRole,
            @ForAll long seed) {
        RoleSettings settings = limitsRole ? RoleSettings.limits() : RoleSettings.placement();
        RoleSimulation simulation = new RoleSimulation(nodes, settings, maxDelayMillis, seed);
        simulation.nodes().forEach(n -> n.mStoreUnreachable = true);
        simulation.breakLink(simulation.node(0), simulation.node(1));
        simulation.breakLink(simulation.node(1), simulation.node(0));
        simulation.run(5_000);
        for (Fault fault : faults) {
            if (fault.type() == 2) {
                simulation.restoreLinks();
            } else if (fault.type() == 3) {
                simulation.stallLink(
                        simulation.node(fault.firstNode()), simulation.node(fault.secondNode()));
            } else {
                inject(simulation, fault);
            }
            simulation.run(fault.millisUntilNext());
        }
        simulation.repairAll();
        simulation.run(12_000);
        assertSingleHolder(simulation);
    }

    private static void assertSingleHolder(RoleSimulation simulation) {
        List<RoleSimulation.Node> holders =
                simulation.nodes().stream().filter(RoleSimulation.Node::mayAct).toList();
        assertThat(holders).hasSize(1);
        long token = holders.get(0).mElection.heldToken();
        assertThat(simulation.highestStoredToken()).isEqualTo(token);
        assertThat(simulation.nodes())
                .allSatisfy(n -> assertThat(n.mElection.highestToken()).isEqualTo(token));
    }

    /**
     * Guards against an entry that votes for a second candidate with the same token while its first
     * vote is still in transit.
     */
    @Test
    void delayedVoteDoesNotElectSecondHolder() {
        RoleSimulation simulation = new RoleSimulation(3, RoleSettings.placement(), 30, 9);
        RoleSimulation.Node first = simulation.node(0);
        RoleSimulation.Node second = simulation.node(1);
        RoleSimulation.Node voter = simulation.node(2);
        simulation.nodes().forEach(n -> n.mStoreUnreachable = true);
        simulation.breakLink(first, second);
        simulation.breakLink(second, first);
        simulation.stallLink(voter, first);
        // Entries do not vote in the first 4 s. The voter prefers the first candidate as long as it
        // receives its heartbeats.
        simulation.run(4_200);
        simulation.breakLink(first, voter);
        // The voter finds the first candidate unreachable and replaces its unsuccessful vote.
        while (!second.mayAct()) {
            simulation.run(50);
            assertThat(simulation.nowMillis()).isLessThan(15_000);
        }
        simulation.restoreLinks();
        simulation.run(10_000);
        assertThat(first.mayAct() && second.mayAct()).isFalse();
        assertThat(simulation.gainCount()).isPositive();
    }

    private static void inject(RoleSimulation simulation, Fault fault) {
        RoleSimulation.Node first = simulation.node(fault.firstNode());
        RoleSimulation.Node second = simulation.node(fault.secondNode());
        switch (fault.type()) {
            case 0 -> simulation.breakLink(first, second);
            case 1 -> {
                simulation.breakLink(first, second);
                simulation.breakLink(second, first);
            }
            case 2 -> first.mStoreUnreachable = true;
            case 3 -> simulation.nodes().forEach(n -> n.mStoreUnreachable = true);
            case 4 ->
                    first.mPausedUntilMillis =
                            simulation.nowMillis() + 2L * fault.millisUntilNext();
            case 5 -> first.mStoreResponsesLost = true;
            case 6, 7 -> isolateWithStore(simulation, first, fault.secondNode());
            default -> simulation.repairAll();
        }
    }

    /**
     * Disconnects one entry from all others, leaves only it connected to the store, and pauses one
     * entry.
     */
    private static void isolateWithStore(
            RoleSimulation simulation, RoleSimulation.Node isolated, int paused) {
        for (RoleSimulation.Node node : simulation.nodes()) {
            if (node != isolated) {
                simulation.breakLink(isolated, node);
                simulation.breakLink(node, isolated);
                node.mStoreUnreachable = true;
            }
        }
        simulation.node(paused).mPausedUntilMillis = simulation.nowMillis() + 4_000;
    }

    @Nested
    final class Failover {
        private RoleSimulation.Node holder(RoleSimulation simulation) {
            return simulation.nodes().stream()
                    .filter(RoleSimulation.Node::mayAct)
                    .findFirst()
                    .orElseThrow();
        }

        private long failoverMillis(boolean storeDown) {
            RoleSimulation simulation =
                    new RoleSimulation(4, RoleSettings.placement(), 30, storeDown ? 7 : 8);
            simulation.run(6_000);
            if (storeDown) {
                simulation.nodes().forEach(n -> n.mStoreUnreachable = true);
                simulation.run(4_000);
            }
            RoleSimulation.Node oldHolder = holder(simulation);
            long token = oldHolder.mElection.heldToken();
            oldHolder.mPausedUntilMillis = Long.MAX_VALUE;
            long startMillis = simulation.nowMillis();
            while (simulation.nodes().stream()
                    .noneMatch(
                            n -> n != oldHolder && n.mayAct() && n.mElection.heldToken() > token)) {
                simulation.run(50);
                assertThat(simulation.nowMillis() - startMillis).isLessThan(10_000);
            }
            return simulation.nowMillis() - startMillis;
        }

        /** Guards against a failover that takes longer than 3 s while the store is reachable. */
        @Test
        void completesWithinThreeSecondsWhileStoreIsReachable() {
            assertThat(failoverMillis(false)).isLessThanOrEqualTo(3_000);
        }

        /** Guards against a failover that is too early or too late while the store is down. */
        @Test
        void completesSoonAfterPeerTimeoutWhileStoreIsUnreachable() {
            assertThat(failoverMillis(true)).isBetween(1_500L, 3_000L);
        }

        /** Guards against a minority, such as a disconnected region, that gains the limits role. */
        @Test
        void minorityNeverGainsLimitsRole() {
            RoleSimulation simulation = new RoleSimulation(5, RoleSettings.limits(), 30, 3);
            simulation.run(6_000);
            RoleSimulation.Node oldHolder = holder(simulation);
            List<RoleSimulation.Node> minority =
                    simulation.nodes().stream().filter(n -> n != oldHolder).limit(2).toList();
            for (RoleSimulation.Node node : simulation.nodes()) {
                node.mStoreUnreachable = true;
                if (!minority.contains(node)) {
                    minority.forEach(m -> simulation.breakLink(m, node));
                    minority.forEach(m -> simulation.breakLink(node, m));
                }
            }
            int gainsBefore = simulation.gainCount();
            simulation.run(20_000);
            assertThat(simulation.gainCount()).isEqualTo(gainsBefore);
            assertThat(oldHolder.mayAct()).isTrue();
        }
    }
}
