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

/** Guards against partial gangs and lost requests while entries do not hear each other. */
class CutTest {
    private static final List<String> PLACES =
            List.of(
                    "mazowsze/warszawa-a",
                    "mazowsze/warszawa-b",
                    "mazowsze/warszawa-b",
                    "malopolska/krakow-a",
                    "malopolska/krakow-a");

    private static final long IN_FORCE_MILLIS = 4_000;
    private static final long STORE_DELAY_MILLIS = 500;
    private static final int SAVES = 3;

    @Test
    void oneWayCutThenBothWaysThenBetweenRegions() throws Exception {
        Set<String> cuts = ConcurrentHashMap.newKeySet();
        Map<String, Relay> relays = new HashMap<>();
        try (Cluster cluster =
                Cluster.start(
                        PLACES,
                        (from, to) ->
                                relays.computeIfAbsent(to.id(), id -> relay(to, cuts)).address())) {
            GangLoadGenerator gangs =
                    new GangLoadGenerator(
                            cluster.mCaller,
                            cluster.callers(),
                            List.of("mazowsze", "malopolska"),
                            "cut",
                            41);
            RequestLoadGenerator requests =
                    new RequestLoadGenerator(cluster.mCaller, cluster.callers(), "cut", 41);
            Thread submitting = new Thread(() -> gangs.submitAll(40, 300));
            Thread sending = new Thread(() -> send(requests));
            submitting.start();
            sending.start();
            EntryProcess owner = cluster.owner("mazowsze");
            for (EntryProcess other : cluster.mEntries) {
                cuts.add(owner.id() + ">" + other.id());
            }
            Thread.sleep(4_000);
            for (EntryProcess other : cluster.mEntries) {
                cuts.add(other.id() + ">" + owner.id());
            }
            Thread.sleep(4_000);
            cuts.clear();
            Thread.sleep(1_000);
            for (EntryProcess near : cluster.mEntries.subList(0, 3)) {
                for (EntryProcess far : cluster.mEntries.subList(3, 5)) {
                    cuts.add(near.id() + ">" + far.id());
                    cuts.add(far.id() + ">" + near.id());
                }
            }
            Thread.sleep(4_000);
            cuts.clear();
            submitting.join();
            sending.join();
            gangs.awaitAll(30_000);
            System.out.println(
                    "measured: cuts, gangs "
                            + gangs.doneJobs().size()
                            + ", outcomes "
                            + requests.countsByOutcome());
            assertThat(gangs.failures()).isEmpty();
            assertThat(cluster.partialGangs(gangs.doneJobs())).isEmpty();
            assertThat(requests.findMismatches(cluster.executionsByBody())).isEmpty();
            assertThat(requests.lostCount())
                    .as(() -> String.join("\n", requests.unexpectedResults()))
                    .isZero();
        } finally {
            for (Relay relay : relays.values()) {
                relay.close();
            }
        }
    }

    /** Guards against a table that is late or reverts while one entry is not heard. */
    @Test
    void tableSavedWithASlowStoreByAnEntryThatIsNotHeard() throws Exception {
        Set<String> cuts = ConcurrentHashMap.newKeySet();
        Map<String, Relay> relays = new HashMap<>();
        try (Cluster cluster =
                Cluster.start(
                        PLACES,
                        (from, to) ->
                                relays.computeIfAbsent(to.id(), id -> relay(to, cuts)).address())) {
            EntryProcess unheard = cluster.mEntries.get(1);
            for (EntryProcess other : cluster.mEntries) {
                cuts.add(unheard.id() + ">" + other.id());
            }
            cluster.storeFault("slow", STORE_DELAY_MILLIS, 0);
            for (int save = 0; save < SAVES; save++) {
                long version = cluster.tableVersion(unheard);
                String csv =
                        Cluster.TABLE.replace(
                                "gang,match,mazowsze,3", "gang,match,mazowsze,2" + save);
                BufferedHttpResponse answer = cluster.saveTable(unheard, csv, version);
                assertThat(answer.status()).as(answer.text()).isEqualTo(200);
                awaitInForce(cluster, version + 1);
            }
            cluster.storeFault("none", 0, 0);
            long version = cluster.tableVersion(unheard);
            cuts.clear();
            // The held heartbeats of the cut name older versions.
            for (int i = 0; i < 50; i++) {
                for (EntryProcess entry : cluster.mEntries) {
                    assertThat(cluster.tableVersion(entry)).isEqualTo(version);
                }
                Thread.sleep(20);
            }
        } finally {
            for (Relay relay : relays.values()) {
                relay.close();
            }
        }
    }

    private static void awaitInForce(Cluster cluster, long version) throws Exception {
        Cluster.await(
                IN_FORCE_MILLIS,
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

    private static void send(RequestLoadGenerator requests) {
        try {
            requests.send(1_200, 10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Relay relay(EntryProcess to, Set<String> cuts) {
        try {
            return new Relay(to.id(), to.peers(), cuts);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
