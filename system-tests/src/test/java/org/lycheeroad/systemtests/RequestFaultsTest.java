package org.lycheeroad.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.lycheeroad.standins.demo.RequestLoadGenerator;
import org.lycheeroad.standins.targets.TargetFault;
import org.lycheeroad.standins.targets.TargetsStandIn;

/**
 * Guards against requests that are lost, answered with another request's answer, run twice although
 * not repeatable, or reported "not run" although they ran.
 */
class RequestFaultsTest {
    private static final int REQUESTS = 3_500;
    private static final long PAUSE_MILLIS = 3;

    @Test
    void entriesKilledAndFrozen() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            RequestLoadGenerator load = load(cluster, 21);
            Thread sending = send(load);
            Thread.sleep(2_000);
            EntryProcess killed = cluster.mEntries.get(1);
            killed.kill();
            Thread.sleep(1_000);
            killed.start();
            EntryProcess frozen = cluster.mEntries.get(2);
            frozen.freeze();
            Thread.sleep(3_500);
            frozen.thaw();
            check(cluster, load, sending);
        }
    }

    @Test
    void targetsBreakMidAnswer() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            RequestLoadGenerator load = load(cluster, 22);
            Thread sending = send(load);
            Random random = new Random(22);
            List<String> modes =
                    List.of("cut", "short", "crossed", "slow", "refuse", "drain", "down");
            while (sending.isAlive()) {
                TargetsStandIn targets =
                        cluster.mTargets.get(random.nextInt(cluster.mTargets.size()));
                String id = targets.vms().get(random.nextInt(targets.vms().size())).id();
                String mode = modes.get(random.nextInt(modes.size()));
                targets.setFault(new TargetFault(id, mode, 300, 1));
                Thread.sleep(150);
                targets.setFault(new TargetFault(id, "none", 0, 0));
            }
            check(cluster, load, sending);
        }
    }

    @Test
    void storeFaults() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            RequestLoadGenerator load = load(cluster, 23);
            Thread sending = send(load);
            Thread.sleep(1_500);
            cluster.storeFault("lose-answers", 0, 40);
            Thread.sleep(2_500);
            cluster.storeFault("slow", 700, 0);
            Thread.sleep(2_000);
            cluster.storeFault("down", 0, 0);
            Thread.sleep(3_000);
            cluster.storeFault("none", 0, 0);
            check(cluster, load, sending);
        }
    }

    private static RequestLoadGenerator load(Cluster cluster, long seed) {
        return new RequestLoadGenerator(cluster.mCaller, cluster.callers(), "faults-" + seed, seed);
    }

    private static Thread send(RequestLoadGenerator load) {
        Thread sending =
                new Thread(
                        () -> {
                            try {
                                load.send(REQUESTS, PAUSE_MILLIS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        sending.start();
        return sending;
    }

    private static void check(Cluster cluster, RequestLoadGenerator load, Thread sending)
            throws InterruptedException {
        sending.join();
        System.out.println(
                "measured: outcomes "
                        + load.countsByOutcome()
                        + ", calls broken "
                        + load.brokenCallCount());
        assertThat(load.sentCount()).isEqualTo(REQUESTS);
        assertThat(load.findMismatches(cluster.executionsByBody())).isEmpty();
        assertThat(load.lostCount()).as(() -> String.join("\n", load.unexpectedResults())).isZero();
        // Shows claims that were confirmed but not stored: only a repetition runs them again.
        load.resendNotRepeatable(PAUSE_MILLIS);
        assertThat(load.notRepeatableRunMoreThanOnce(cluster.executionsByBody())).isEmpty();
    }
}
