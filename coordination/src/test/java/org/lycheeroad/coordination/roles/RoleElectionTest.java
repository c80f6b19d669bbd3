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

/** Elections under faults, in simulated time. */
final class RoleElectionTest {
    /** One fault: what, to which entries, and how long until the next one. */
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
     * Guards against two holders with one token, a holder that acts after a pause, and a role that
     * nobody or two entries hold after the faults have ended.
     */
    @Property(tries = 400, seed = "4217")
    void electionRecoversWithUniqueTokensAfterFaults(
            @ForAll("faults") List<Fault> faults,
            @ForAll @IntRange(min = 2, max = 5) int nodes,
            @ForAll @IntRange(min = 0, max = 300) int delay,
            @ForAll boolean limits,
            @ForAll long seed) {
        RoleSettings settings = limits ? RoleSettings.limits() : RoleSettings.placement();
        RoleSimulation simulation = new RoleSimulation(nodes, settings, delay, seed);
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
     * Guards against an entry that votes for two candidates with one token, which shows only while
     * two candidates that do not hear each other ask the same voters at the same time.
     */
    @Property(tries = 200, seed = "4218")
    void disconnectedCandidatesNeverWinTheSameToken(
            @ForAll("linkFaults") List<Fault> splits,
            @ForAll @IntRange(min = 3, max = 5) int nodes,
            @ForAll @IntRange(min = 0, max = 300) int delay,
            @ForAll boolean limits,
            @ForAll long seed) {
        RoleSettings settings = limits ? RoleSettings.limits() : RoleSettings.placement();
        RoleSimulation simulation = new RoleSimulation(nodes, settings, delay, seed);
        simulation.nodes().forEach(n -> n.mStoreUnreachable = true);
        simulation.breakLink(simulation.node(0), simulation.node(1));
        simulation.breakLink(simulation.node(1), simulation.node(0));
        simulation.run(5_000);
        for (Fault split : splits) {
            if (split.type() == 2) {
                simulation.restoreLinks();
            } else if (split.type() == 3) {
                simulation.stallLink(
                        simulation.node(split.firstNode()), simulation.node(split.secondNode()));
            } else {
                inject(simulation, split);
            }
            simulation.run(split.millisUntilNext());
        }
        simulation.repairAll();
        simulation.run(12_000);
        assertSingleHolder(simulation);
    }

    private static void assertSingleHolder(RoleSimulation simulation) {
        List<RoleSimulation.Node> acting =
                simulation.nodes().stream().filter(RoleSimulation.Node::mayAct).toList();
        assertThat(acting).hasSize(1);
        long token = acting.get(0).mElection.heldToken();
        assertThat(simulation.highestStoredToken()).isEqualTo(token);
        assertThat(simulation.nodes())
                .allSatisfy(n -> assertThat(n.mElection.highestToken()).isEqualTo(token));
    }

    /**
     * Guards against a vote that is repeated for another candidate while the first is on its way.
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
        // Entries vote 4 s after their start; the voter prefers the first while it hears it.
        simulation.run(4_200);
        simulation.breakLink(first, voter);
        // The voter holds the first for silent and replaces its vote, which was not successful.
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
        RoleSimulation.Node a = simulation.node(fault.firstNode());
        RoleSimulation.Node b = simulation.node(fault.secondNode());
        switch (fault.type()) {
            case 0 -> simulation.breakLink(a, b);
            case 1 -> {
                simulation.breakLink(a, b);
                simulation.breakLink(b, a);
            }
            case 2 -> a.mStoreUnreachable = true;
            case 3 -> simulation.nodes().forEach(n -> n.mStoreUnreachable = true);
            case 4 -> a.mPausedUntilMillis = simulation.nowMillis() + 2L * fault.millisUntilNext();
            case 5 -> a.mStoreResponsesLost = true;
            case 6, 7 -> isolateWithStore(simulation, a, fault.secondNode());
            default -> simulation.repairAll();
        }
    }

    /** Cuts the other entries off from one entry, which alone keeps the store, and pauses one. */
    private static void isolateWithStore(
            RoleSimulation simulation, RoleSimulation.Node a, int paused) {
        for (RoleSimulation.Node node : simulation.nodes()) {
            if (node != a) {
                simulation.breakLink(a, node);
                simulation.breakLink(node, a);
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
            RoleSimulation.Node old = holder(simulation);
            long token = old.mElection.heldToken();
            old.mPausedUntilMillis = Long.MAX_VALUE;
            long start = simulation.nowMillis();
            while (simulation.nodes().stream()
                    .noneMatch(n -> n != old && n.mayAct() && n.mElection.heldToken() > token)) {
                simulation.run(50);
                assertThat(simulation.nowMillis() - start).isLessThan(10_000);
            }
            return simulation.nowMillis() - start;
        }

        /** Guards against a failover that takes longer than 3 s while the store answers. */
        @Test
        void completesWithinThreeSecondsWhileStoreIsReachable() {
            assertThat(failoverMillis(false)).isLessThanOrEqualTo(3_000);
        }

        /** Guards against a role taken too early or too late while the store is down. */
        @Test
        void completesSoonAfterPeerTimeoutWhileStoreIsUnreachable() {
            assertThat(failoverMillis(true)).isBetween(1_500L, 3_000L);
        }

        /** Guards against a minority, such as a region that is cut off, that takes the limits. */
        @Test
        void minorityNeverGainsLimitsRole() {
            RoleSimulation simulation = new RoleSimulation(5, RoleSettings.limits(), 30, 3);
            simulation.run(6_000);
            RoleSimulation.Node old = holder(simulation);
            List<RoleSimulation.Node> minority =
                    simulation.nodes().stream().filter(n -> n != old).limit(2).toList();
            for (RoleSimulation.Node node : simulation.nodes()) {
                node.mStoreUnreachable = true;
                if (!minority.contains(node)) {
                    minority.forEach(m -> simulation.breakLink(m, node));
                    minority.forEach(m -> simulation.breakLink(node, m));
                }
            }
            int gains = simulation.gainCount();
            simulation.run(20_000);
            assertThat(simulation.gainCount()).isEqualTo(gains);
            assertThat(old.mayAct()).isTrue();
        }
    }
}
