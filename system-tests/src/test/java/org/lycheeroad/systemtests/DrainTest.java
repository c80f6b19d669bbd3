package org.lycheeroad.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.standins.demo.RequestLoadGenerator;
import org.lycheeroad.standins.targets.Execution;
import org.lycheeroad.standins.vms.VmListStandIn;

/**
 * Guards against requests that are sent to a removed target, and against requests that are
 * interrupted by the shutdown of an entry.
 */
class DrainTest {
    private static final long MAX_START_AFTER_REMOVAL_MS = 3_000;
    private static final int REQUEST_COUNT = 1_500;

    @Test
    void removedTargetReceivesNoNewRequestsAndShutdownInterruptsNone() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            RequestLoadGenerator load =
                    new RequestLoadGenerator(
                            cluster.mClient, cluster.callerAddresses(), "leaving", 31);
            Thread sender =
                    new Thread(
                            () -> {
                                try {
                                    load.send(REQUEST_COUNT, 6);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            sender.start();
            Thread.sleep(2_000);
            String target = cluster.mTargets.get(0).vms().get(0).id();
            long removedAtMs = System.currentTimeMillis();
            cluster.mVmList.applyChange(new VmListStandIn.Change(null, null, target, null));
            Thread.sleep(2_000);
            EntryProcess terminated = cluster.mEntries.get(3);
            terminated.terminate();
            // A load balancer sends no requests to an entry that is not ready.
            Cluster.await(
                    2_000,
                    "the terminated entry reports that it is not ready",
                    () -> !isReady(cluster, terminated));
            load.excludeEntry(terminated.callerAddress());
            boolean exitedCleanly = terminated.awaitCleanExit();
            sender.join();
            List<Execution> onTarget =
                    cluster.executions().stream().filter(e -> e.target().equals(target)).toList();
            long lastStartMs =
                    onTarget.stream().mapToLong(Execution::startMs).max().orElse(removedAtMs);
            System.out.println(
                    "measured: last start on the removed target after "
                            + (lastStartMs - removedAtMs)
                            + " ms, "
                            + "outcomes "
                            + load.countsByOutcome()
                            + ", calls broken "
                            + load.brokenCallCount());
            assertThat(onTarget).anyMatch(e -> e.startMs() < removedAtMs);
            assertThat(lastStartMs - removedAtMs).isLessThan(MAX_START_AFTER_REMOVAL_MS);
            assertThat(exitedCleanly).isTrue();
            assertThat(load.brokenCallCount()).isZero();
            assertThat(load.lostCount() + load.unknownCount())
                    .as(() -> String.join("\n", load.unexpectedResults()))
                    .isZero();
            assertThat(load.findMismatches(cluster.executionsByBody())).isEmpty();
        }
    }

    private static boolean isReady(Cluster cluster, EntryProcess entry)
            throws InterruptedException {
        try {
            cluster.mClient.get(entry.callerAddress(), "/ready");
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
