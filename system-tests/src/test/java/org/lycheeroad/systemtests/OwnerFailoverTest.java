package org.lycheeroad.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.api.GangRequest;
import org.lycheeroad.standins.demo.GangLoadGenerator;
import org.lycheeroad.standins.workers.TaskRun;
import org.lycheeroad.standins.workers.WorkerFault;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/**
 * Guards against gangs that are lost or run partially when the placement owner or a worker fails.
 */
class OwnerFailoverTest {
    private static final int LONG_GANG_COUNT = 4;

    /** The duration of the renewed run lease; see section 3.3 of the design. */
    private static final long RUN_LEASE_MS = 6_000;

    private static final long LONG_RUN_MS = 3 * RUN_LEASE_MS;
    private static final String REGION = "mazowsze";
    private static final long FAILOVER_TIMEOUT_MS = 3_000;
    private static final long COMPLETION_TIMEOUT_MS = 45_000;
    private static final int GANG_COUNT = 30;

    @Test
    void killedOwnerIsReplacedAndNoGangRunsPartially() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            GangLoadGenerator gangs = createLoad(cluster, 11);
            Thread submitter = new Thread(() -> gangs.submitAll(GANG_COUNT, 60));
            submitter.start();
            Thread.sleep(900);
            EntryProcess owner = cluster.awaitOwner(REGION);
            owner.kill();
            long failoverMs =
                    Cluster.await(
                            FAILOVER_TIMEOUT_MS,
                            "another entry owns the placement",
                            () -> cluster.findOwner(REGION, owner).isPresent());
            System.out.println("measured: failover after kill " + failoverMs + " ms");
            awaitAndVerify(cluster, gangs, submitter);
        }
    }

    @Test
    void suspendedOwnerIsReplacedAndFencedAfterItResumes() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            GangLoadGenerator gangs = createLoad(cluster, 12);
            Thread submitter = new Thread(() -> gangs.submitAll(GANG_COUNT, 60));
            submitter.start();
            Thread.sleep(900);
            EntryProcess owner = cluster.awaitOwner(REGION);
            owner.suspend();
            long failoverMs =
                    Cluster.await(
                            FAILOVER_TIMEOUT_MS,
                            "another entry owns the placement",
                            () -> cluster.findOwner(REGION, owner).isPresent());
            System.out.println("measured: failover after suspension " + failoverMs + " ms");
            Thread.sleep(1_500);
            owner.resume();
            awaitAndVerify(cluster, gangs, submitter);
            Cluster.await(
                    5_000,
                    "the old owner has stepped down",
                    () -> cluster.status(owner).path("placementToken").asLong() == 0);
        }
    }

    @Test
    void gangsOfAKilledWorkerRunCompletelyOnOtherWorkers() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            GangLoadGenerator gangs = createLoad(cluster, 13);
            Thread submitter = new Thread(() -> gangs.submitAll(GANG_COUNT, 60));
            submitter.start();
            Cluster.await(
                    10_000, "a gang runs", () -> findWorkerWithRunningTask(cluster).isPresent());
            String worker = findWorkerWithRunningTask(cluster).orElseThrow();
            cluster.mWorkers.forEach(w -> w.setFault(new WorkerFault(worker, "kill")));
            Thread.sleep(8_000);
            cluster.mWorkers.forEach(w -> w.setFault(new WorkerFault(worker, "restart")));
            awaitAndVerify(cluster, gangs, submitter);
        }
    }

    /** Guards against failing lease renewals, which do not affect gangs shorter than the lease. */
    @Test
    void gangsLongerThanTheirLeaseRunOnceAcrossOwners() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            startLongGangs(cluster);
            Thread.sleep(RUN_LEASE_MS);
            cluster.awaitOwner(REGION).kill();
            awaitAndVerifyLongGangs(cluster);
        }
    }

    /** Guards against a resumed owner that disturbs gangs which the new owner has taken over. */
    @Test
    void longGangsRunOnceWhenTheirOwnerIsSuspendedAndResumes() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            startLongGangs(cluster);
            EntryProcess owner = cluster.awaitOwner(REGION);
            owner.suspend();
            Cluster.await(
                    FAILOVER_TIMEOUT_MS,
                    "another entry owns the placement",
                    () -> cluster.findOwner(REGION, owner).isPresent());
            Thread.sleep(RUN_LEASE_MS);
            owner.resume();
            Cluster.await(
                    FAILOVER_TIMEOUT_MS,
                    "the old owner has stepped down",
                    () -> cluster.status(owner).path("placementToken").asLong() == 0);
            awaitAndVerifyLongGangs(cluster);
        }
    }

    private static void startLongGangs(Cluster cluster) throws Exception {
        for (int i = 0; i < LONG_GANG_COUNT; i++) {
            GangRequest gang =
                    new GangRequest(
                            "archive",
                            "review",
                            REGION,
                            "2x4@any",
                            false,
                            LONG_RUN_MS,
                            "run-ms=" + LONG_RUN_MS,
                            "long-" + i);
            BufferedHttpResponse response =
                    cluster.mClient
                            .submitGang(cluster.callerAddresses().get(0), gang, 10_000)
                            .get();
            assertThat(response.status()).as(response.text()).isEqualTo(202);
        }
        Cluster.await(
                10_000,
                "all members of the long gangs run",
                () -> cluster.runs().size() == 2 * LONG_GANG_COUNT);
    }

    private static void awaitAndVerifyLongGangs(Cluster cluster) throws Exception {
        Cluster.await(
                2 * LONG_RUN_MS,
                "all members have ended",
                () -> cluster.runs().stream().noneMatch(r -> r.ended().isEmpty()));
        assertThat(cluster.runs())
                .hasSize(2 * LONG_GANG_COUNT)
                .allMatch(r -> r.ended().equals("DONE"));
        assertThat(cluster.findPartialGangs(Set.of())).isEmpty();
    }

    private static Optional<String> findWorkerWithRunningTask(Cluster cluster) {
        return cluster.runs().stream()
                .filter(r -> r.ended().isEmpty())
                .map(TaskRun::worker)
                .findFirst();
    }

    private static GangLoadGenerator createLoad(Cluster cluster, long seed) {
        return new GangLoadGenerator(
                cluster.mClient, cluster.callerAddresses(), List.of(REGION), "owner-" + seed, seed);
    }

    private static void awaitAndVerify(Cluster cluster, GangLoadGenerator gangs, Thread submitter)
            throws InterruptedException {
        submitter.join();
        gangs.awaitAll(COMPLETION_TIMEOUT_MS);
        assertThat(gangs.failures()).isEmpty();
        assertThat(gangs.acceptedCount()).isEqualTo(GANG_COUNT);
        assertThat(gangs.doneJobs()).hasSize(GANG_COUNT);
        assertThat(cluster.findPartialGangs(gangs.doneJobs())).isEmpty();
    }
}
