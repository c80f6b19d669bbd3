package org.lycheeroad.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.lycheeroad.standins.demo.GangLoadGenerator;
import org.lycheeroad.standins.demo.RequestLoadGenerator;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** Guards against partially run gangs and lost requests during network partitions. */
class NetworkPartitionTest {
    private static final List<String> ENTRY_LOCATIONS =
            List.of(
                    "mazowsze/warszawa-a",
                    "mazowsze/warszawa-b",
                    "mazowsze/warszawa-b",
                    "malopolska/krakow-a",
                    "malopolska/krakow-a");

    private static final long TABLE_IN_FORCE_TIMEOUT_MS = 4_000;
    private static final long STORE_DELAY_MS = 500;
    private static final int SAVE_COUNT = 3;

    @Test
    void gangsAndRequestsSurviveOneWayTwoWayAndRegionPartitions() throws Exception {
        Set<String> blockedDirections = ConcurrentHashMap.newKeySet();
        Map<String, PartitionProxy> proxies = new HashMap<>();
        try (Cluster cluster =
                Cluster.start(
                        ENTRY_LOCATIONS,
                        (from, to) ->
                                proxies.computeIfAbsent(
                                                to.id(), id -> createProxy(to, blockedDirections))
                                        .address())) {
            GangLoadGenerator gangs =
                    new GangLoadGenerator(
                            cluster.mClient,
                            cluster.callerAddresses(),
                            List.of("mazowsze", "malopolska"),
                            "cut",
                            41);
            RequestLoadGenerator requests =
                    new RequestLoadGenerator(cluster.mClient, cluster.callerAddresses(), "cut", 41);
            Thread submitter = new Thread(() -> gangs.submitAll(40, 300));
            Thread sender = new Thread(() -> sendRequests(requests));
            submitter.start();
            sender.start();
            EntryProcess owner = cluster.awaitOwner("mazowsze");
            for (EntryProcess other : cluster.mEntries) {
                blockedDirections.add(owner.id() + ">" + other.id());
            }
            Thread.sleep(4_000);
            for (EntryProcess other : cluster.mEntries) {
                blockedDirections.add(other.id() + ">" + owner.id());
            }
            Thread.sleep(4_000);
            blockedDirections.clear();
            Thread.sleep(1_000);
            for (EntryProcess mazowszeEntry : cluster.mEntries.subList(0, 3)) {
                for (EntryProcess malopolskaEntry : cluster.mEntries.subList(3, 5)) {
                    blockedDirections.add(mazowszeEntry.id() + ">" + malopolskaEntry.id());
                    blockedDirections.add(malopolskaEntry.id() + ">" + mazowszeEntry.id());
                }
            }
            Thread.sleep(4_000);
            blockedDirections.clear();
            submitter.join();
            sender.join();
            gangs.awaitAll(30_000);
            System.out.println(
                    "measured: partitions, gangs "
                            + gangs.doneJobs().size()
                            + ", outcomes "
                            + requests.countsByOutcome());
            assertThat(gangs.failures()).isEmpty();
            assertThat(cluster.findPartialGangs(gangs.doneJobs())).isEmpty();
            assertThat(requests.findMismatches(cluster.executionsByBody())).isEmpty();
            assertThat(requests.lostCount())
                    .as(() -> String.join("\n", requests.unexpectedResults()))
                    .isZero();
        } finally {
            for (PartitionProxy proxy : proxies.values()) {
                proxy.close();
            }
        }
    }

    /**
     * Guards against tables that take effect late or are reverted when the entry that saved them
     * cannot send to its peers.
     */
    @Test
    void tableSavedByAPartitionedEntryWithASlowStoreReachesAllEntries() throws Exception {
        Set<String> blockedDirections = ConcurrentHashMap.newKeySet();
        Map<String, PartitionProxy> proxies = new HashMap<>();
        try (Cluster cluster =
                Cluster.start(
                        ENTRY_LOCATIONS,
                        (from, to) ->
                                proxies.computeIfAbsent(
                                                to.id(), id -> createProxy(to, blockedDirections))
                                        .address())) {
            EntryProcess partitioned = cluster.mEntries.get(1);
            for (EntryProcess other : cluster.mEntries) {
                blockedDirections.add(partitioned.id() + ">" + other.id());
            }
            cluster.setStoreFault("slow", STORE_DELAY_MS, 0);
            for (int save = 0; save < SAVE_COUNT; save++) {
                long version = cluster.tableVersion(partitioned);
                String csv =
                        Cluster.TABLE.replace(
                                "gang,match,mazowsze,3", "gang,match,mazowsze,2" + save);
                BufferedHttpResponse response = cluster.saveTable(partitioned, csv, version);
                assertThat(response.status()).as(response.text()).isEqualTo(200);
                awaitInForce(cluster, version + 1);
            }
            cluster.setStoreFault("none", 0, 0);
            long version = cluster.tableVersion(partitioned);
            blockedDirections.clear();
            // The heartbeats that were held back during the partition contain older versions.
            for (int i = 0; i < 50; i++) {
                for (EntryProcess entry : cluster.mEntries) {
                    assertThat(cluster.tableVersion(entry)).isEqualTo(version);
                }
                Thread.sleep(20);
            }
        } finally {
            for (PartitionProxy proxy : proxies.values()) {
                proxy.close();
            }
        }
    }

    private static void awaitInForce(Cluster cluster, long version) throws Exception {
        Cluster.await(
                TABLE_IN_FORCE_TIMEOUT_MS,
                "version " + version + " is in force on all entries",
                () -> {
                    for (EntryProcess entry : cluster.mEntries) {
                        if (cluster.tableVersion(entry) < version) {
                            return false;
                        }
                    }
                    return true;
                });
    }

    private static void sendRequests(RequestLoadGenerator requests) {
        try {
            requests.send(1_200, 10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static PartitionProxy createProxy(EntryProcess to, Set<String> blockedDirections) {
        try {
            return new PartitionProxy(to.id(), to.peerAddress(), blockedDirections);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
