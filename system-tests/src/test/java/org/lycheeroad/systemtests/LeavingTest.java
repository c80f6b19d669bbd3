package org.lycheeroad.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.standins.demo.RequestLoadGenerator;
import org.lycheeroad.standins.targets.Execution;
import org.lycheeroad.standins.vms.VmListStandIn;

/** Guards against work for a target that leaves and requests cut off by a shutdown. */
class LeavingTest {
    private static final long LEAVING_MILLIS = 3_000;
    private static final int REQUESTS = 1_500;

    @Test
    void leavingTargetReceivesNothingNewAndShutdownCutsOffNoRequest() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            RequestLoadGenerator load =
                    new RequestLoadGenerator(cluster.mCaller, cluster.callers(), "leaving", 31);
            Thread sending =
                    new Thread(
                            () -> {
                                try {
                                    load.send(REQUESTS, 6);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            sending.start();
            Thread.sleep(2_000);
            String target = cluster.mTargets.get(0).vms().get(0).id();
            long left = System.currentTimeMillis();
            cluster.mVms.applyChange(new VmListStandIn.Change(null, null, target, null));
            Thread.sleep(2_000);
            EntryProcess ended = cluster.mEntries.get(3);
            ended.terminate();
            // The balancer sends nothing more to an entry that is not ready.
            Cluster.await(2_000, "the entry is not ready", () -> !isReady(cluster, ended));
            load.excludeEntry(ended.callers());
            boolean clean = ended.awaitEnd();
            sending.join();
            List<Execution> onTarget =
                    cluster.executions().stream().filter(e -> e.target().equals(target)).toList();
            long last = onTarget.stream().mapToLong(Execution::startMs).max().orElse(left);
            System.out.println(
                    "measured: last start on the leaving target after "
                            + (last - left)
                            + " ms, "
                            + "outcomes "
                            + load.countsByOutcome()
                            + ", calls broken "
                            + load.brokenCallCount());
            assertThat(onTarget).anyMatch(e -> e.startMs() < left);
            assertThat(last - left).isLessThan(LEAVING_MILLIS);
            assertThat(clean).isTrue();
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
            cluster.mCaller.get(entry.callers(), "/ready");
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
