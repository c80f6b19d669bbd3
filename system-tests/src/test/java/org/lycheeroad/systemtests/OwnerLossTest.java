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

/** Guards against gangs that are lost or run partially when the placement owner fails. */
class OwnerLossTest {
    private static final int LONG_GANGS = 4;

    /** The run lease; see the design, section 3.3. */
    private static final long LEASE_MILLIS = 6_000;

    private static final long LONG_RUN_MILLIS = 3 * LEASE_MILLIS;
    private static final String REGION = "mazowsze";
    private static final long FAILOVER_MILLIS = 3_000;
    private static final long END_MILLIS = 45_000;
    private static final int GANGS = 30;

    @Test
    void killedOwnerIsReplacedAndNoGangRunsPartially() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            GangLoadGenerator gangs = load(cluster, 11);
            Thread submitting = new Thread(() -> gangs.submitAll(GANGS, 60));
            submitting.start();
            Thread.sleep(900);
            EntryProcess owner = cluster.owner(REGION);
            owner.kill();
            long failover =
                    Cluster.await(
                            FAILOVER_MILLIS,
                            "another entry owns the placement",
                            () -> cluster.findOwner(REGION, owner).isPresent());
            System.out.println("measured: failover after kill " + failover + " ms");
            check(cluster, gangs, submitting);
        }
    }

    @Test
    void frozenOwnerIsReplacedAndFencedWhenItComesBack() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            GangLoadGenerator gangs = load(cluster, 12);
            Thread submitting = new Thread(() -> gangs.submitAll(GANGS, 60));
            submitting.start();
            Thread.sleep(900);
            EntryProcess owner = cluster.owner(REGION);
            owner.freeze();
            long failover =
                    Cluster.await(
                            FAILOVER_MILLIS,
                            "another entry owns the placement",
                            () -> cluster.findOwner(REGION, owner).isPresent());
            System.out.println("measured: failover after freeze " + failover + " ms");
            Thread.sleep(1_500);
            owner.thaw();
            check(cluster, gangs, submitting);
            Cluster.await(
                    5_000,
                    "the old owner has stepped down",
                    () -> cluster.status(owner).path("placementToken").asLong() == 0);
        }
    }

    @Test
    void gangsOfAKilledWorkerRunWhollyElsewhere() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            GangLoadGenerator gangs = load(cluster, 13);
            Thread submitting = new Thread(() -> gangs.submitAll(GANGS, 60));
            submitting.start();
            Cluster.await(10_000, "a gang runs", () -> runningWorker(cluster).isPresent());
            String worker = runningWorker(cluster).orElseThrow();
            cluster.mWorkers.forEach(w -> w.setFault(new WorkerFault(worker, "kill")));
            Thread.sleep(8_000);
            cluster.mWorkers.forEach(w -> w.setFault(new WorkerFault(worker, "restart")));
            check(cluster, gangs, submitting);
        }
    }

    /** Guards against renewals that fail, which shorter gangs do not notice. */
    @Test
    void gangsThatOutliveTheirLeaseRunOnceAcrossOwners() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            startLongGangs(cluster);
            Thread.sleep(LEASE_MILLIS);
            cluster.owner(REGION).kill();
            checkLongGangs(cluster);
        }
    }

    /** Guards against an owner that comes back and disturbs the gangs that another one adopted. */
    @Test
    void gangsThatOutliveTheFreezeOfTheirOwnerRunOnce() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            startLongGangs(cluster);
            EntryProcess owner = cluster.owner(REGION);
            owner.freeze();
            Cluster.await(
                    FAILOVER_MILLIS,
                    "another entry owns the placement",
                    () -> cluster.findOwner(REGION, owner).isPresent());
            Thread.sleep(LEASE_MILLIS);
            owner.thaw();
            Cluster.await(
                    FAILOVER_MILLIS,
                    "the old owner has stepped down",
                    () -> cluster.status(owner).path("placementToken").asLong() == 0);
            checkLongGangs(cluster);
        }
    }

    private static void startLongGangs(Cluster cluster) throws Exception {
        for (int i = 0; i < LONG_GANGS; i++) {
            GangRequest gang =
                    new GangRequest(
                            "archive",
                            "review",
                            REGION,
                            "2x4@any",
                            false,
                            LONG_RUN_MILLIS,
                            "run-ms=" + LONG_RUN_MILLIS,
                            "long-" + i);
            BufferedHttpResponse answer =
                    cluster.mCaller.submitGang(cluster.callers().get(0), gang, 10_000).get();
            assertThat(answer.status()).as(answer.text()).isEqualTo(202);
        }
        Cluster.await(10_000, "all run", () -> cluster.runs().size() == 2 * LONG_GANGS);
    }

    private static void checkLongGangs(Cluster cluster) throws Exception {
        Cluster.await(
                2 * LONG_RUN_MILLIS,
                "all members have ended",
                () -> cluster.runs().stream().noneMatch(r -> r.ended().isEmpty()));
        assertThat(cluster.runs()).hasSize(2 * LONG_GANGS).allMatch(r -> r.ended().equals("DONE"));
        assertThat(cluster.partialGangs(Set.of())).isEmpty();
    }

    private static Optional<String> runningWorker(Cluster cluster) {
        return cluster.runs().stream()
                .filter(r -> r.ended().isEmpty())
                .map(TaskRun::worker)
                .findFirst();
    }

    private static GangLoadGenerator load(Cluster cluster, long seed) {
        return new GangLoadGenerator(
                cluster.mCaller, cluster.callers(), List.of(REGION), "owner-" + seed, seed);
    }

    private static void check(Cluster cluster, GangLoadGenerator gangs, Thread submitting)
            throws InterruptedException {
        submitting.join();
        gangs.awaitAll(END_MILLIS);
        assertThat(gangs.failures()).isEmpty();
        assertThat(gangs.acceptedCount()).isEqualTo(GANGS);
        assertThat(gangs.doneJobs()).hasSize(GANGS);
        assertThat(cluster.partialGangs(gangs.doneJobs())).isEmpty();
    }
}
