package org.lycheeroad.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.lycheeroad.standins.demo.RequestLoadGenerator;
import org.lycheeroad.standins.targets.TargetFault;
import org.lycheeroad.standins.targets.TargetsStandIn;

/**
 * Guards against requests that are lost, that receive the response of another request, that run
 * twice although they are not repeatable, or that are reported as "not run" although they ran.
 */
class RequestFaultsTest {
    private static final int REQUEST_COUNT = 3_500;
    private static final long SEND_INTERVAL_MS = 3;

    @Test
    void requestsSurviveKilledAndSuspendedEntries() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            RequestLoadGenerator load = createLoad(cluster, 21);
            Thread sender = startSending(load);
            Thread.sleep(2_000);
            EntryProcess killed = cluster.mEntries.get(1);
            killed.kill();
            Thread.sleep(1_000);
            killed.start();
            EntryProcess suspended = cluster.mEntries.get(2);
            suspended.suspend();
            Thread.sleep(3_500);
            suspended.resume();
            awaitAndVerify(cluster, load, sender);
        }
    }

    @Test
    void requestsSurviveTargetFaults() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            RequestLoadGenerator load = createLoad(cluster, 22);
            Thread sender = startSending(load);
            Random random = new Random(22);
            List<String> modes =
                    List.of("cut", "short", "crossed", "slow", "refuse", "drain", "down");
            while (sender.isAlive()) {
                TargetsStandIn targets =
                        cluster.mTargets.get(random.nextInt(cluster.mTargets.size()));
                String id = targets.vms().get(random.nextInt(targets.vms().size())).id();
                String mode = modes.get(random.nextInt(modes.size()));
                targets.setFault(new TargetFault(id, mode, 300, 1));
                Thread.sleep(150);
                targets.setFault(new TargetFault(id, "none", 0, 0));
            }
            awaitAndVerify(cluster, load, sender);
        }
    }

    @Test
    void requestsSurviveStoreFaults() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            RequestLoadGenerator load = createLoad(cluster, 23);
            Thread sender = startSending(load);
            Thread.sleep(1_500);
            cluster.setStoreFault("lose-answers", 0, 40);
            Thread.sleep(2_500);
            cluster.setStoreFault("slow", 700, 0);
            Thread.sleep(2_000);
            cluster.setStoreFault("down", 0, 0);
            Thread.sleep(3_000);
            cluster.setStoreFault("none", 0, 0);
            awaitAndVerify(cluster, load, sender);
        }
    }

    private static RequestLoadGenerator createLoad(Cluster cluster, long seed) {
        return new RequestLoadGenerator(
                cluster.mClient, cluster.callerAddresses(), "faults-" + seed, seed);
    }

    private static Thread startSending(RequestLoadGenerator load) {
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                load.send(REQUEST_COUNT, SEND_INTERVAL_MS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        sender.start();
        return sender;
    }

    private static void awaitAndVerify(Cluster cluster, RequestLoadGenerator load, Thread sender)
            throws InterruptedException {
        sender.join();
        System.out.println(
                "measured: outcomes "
                        + load.countsByOutcome()
                        + ", calls broken "
                        + load.brokenCallCount());
        assertThat(load.sentCount()).isEqualTo(REQUEST_COUNT);
        assertThat(load.findMismatches(cluster.executionsByBody())).isEmpty();
        assertThat(load.lostCount()).as(() -> String.join("\n", load.unexpectedResults())).isZero();
        // Detects claims that were confirmed but not stored: such requests run a second time when
        // they are sent again.
        load.resendNotRepeatable(SEND_INTERVAL_MS);
        assertThat(load.notRepeatableRunMoreThanOnce(cluster.executionsByBody())).isEmpty();
    }
}
