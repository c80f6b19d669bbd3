package org.lycheeroad.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.api.GangRequest;
import org.lycheeroad.protocol.api.GangStatus;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.standins.workers.TaskRun;
import org.lycheeroad.standins.workers.WorkerFault;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** Guards the promises that must hold while the store is down for long. */
class StoreDownTest {
    private static final String REGION = "mazowsze";
    private static final long URGENT_MILLIS = 8_600;

    /** The time between the request to checkpoint and the stop; see the design, section 3.3. */
    private static final long GRACE_MILLIS = 3_000;

    /** The first calls still wait for the store; later ones know that it is down. */
    private static final long AT_ONCE_MILLIS = 1_500;

    @Test
    void urgentGangReclaimsItsGuaranteeWithAndWithoutTheStore() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            Set<String> borrowers = fill(cluster);
            long withStore = startUrgent(cluster, "up");
            cluster.storeFault("down", 0, 0);
            Thread.sleep(3_000);
            long withoutStore = startUrgent(cluster, "down");
            System.out.println(
                    "measured: urgent start "
                            + withStore
                            + " ms, store down "
                            + withoutStore
                            + " ms");
            cluster.storeFault("none", 0, 0);
            assertThat(withStore).isLessThan(URGENT_MILLIS);
            assertThat(withoutStore).isLessThan(URGENT_MILLIS);
            assertThat(borrowers).isNotEmpty();
            assertThat(cluster.partialGangs(Set.of())).isEmpty();
        }
    }

    /** Guards against a reclaim that does not begin again when a worker of the shape dies. */
    @Test
    void urgentGangStartsInTimeAlthoughAWorkerOfItsShapeDies() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            Set<String> borrowers = fill(cluster);
            long start = System.currentTimeMillis();
            String urgent = submitUrgent(cluster, "dies");
            Cluster.await(
                    GRACE_MILLIS,
                    "a borrower is asked to stop",
                    () -> reclaimed(cluster, borrowers).isPresent());
            String borrower = reclaimed(cluster, borrowers).orElseThrow();
            String worker = runsOf(cluster, borrower).get(0).worker();
            Thread.sleep(GRACE_MILLIS - 1_000);
            cluster.mWorkers.forEach(w -> w.setFault(new WorkerFault(worker, "kill")));
            long started = awaitUrgent(cluster, urgent, start);
            System.out.println("measured: urgent start, worker dead " + started + " ms");
            assertThat(started).isLessThan(URGENT_MILLIS);
            assertThat(runsOf(cluster, urgent)).noneMatch(r -> r.worker().equals(worker));
            assertThat(cluster.partialGangs(Set.of())).isEmpty();
        }
    }

    @Test
    void notRepeatableRequestsAreNotRunAtOnceAndOthersGoOn() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            cluster.storeFault("down", 0, 0);
            Thread.sleep(2_500);
            for (int i = 0; i < 20; i++) {
                long start = System.nanoTime();
                BufferedHttpResponse booking = request(cluster, i, true);
                assertThat(booking.header("Lycheeroad-Outcome")).isEqualTo("not-run");
                assertThat((System.nanoTime() - start) / 1_000_000).isLessThan(AT_ONCE_MILLIS);
                BufferedHttpResponse other = request(cluster, i, false);
                assertThat(other.header("Lycheeroad-Outcome")).isEqualTo("done");
            }
            assertThat(cluster.executionsByBody().keySet()).noneMatch(b -> b.contains("booking"));
        }
    }

    /** Fills the region with work of a team without a guarantee. */
    private static Set<String> fill(Cluster cluster) throws Exception {
        Set<String> jobs = new HashSet<>();
        int workers = cluster.mWorkers.size() * 5;
        for (int i = 0; i < workers; i++) {
            GangRequest gang =
                    new GangRequest(
                            "archive",
                            "review",
                            REGION,
                            "1x8@worker",
                            false,
                            60_000,
                            "run-ms=60000",
                            "fill-" + i);
            BufferedHttpResponse answer =
                    cluster.mCaller
                            .submitGang(cluster.mEntries.get(0).callers(), gang, 10_000)
                            .get();
            assertThat(answer.status()).as(answer.text()).isEqualTo(202);
            jobs.add(Json.read(answer.text(), GangStatus.class).job());
        }
        Cluster.await(15_000, "all workers are borrowed", () -> running(cluster) == workers);
        return jobs;
    }

    private static long startUrgent(Cluster cluster, String key) throws Exception {
        long start = System.currentTimeMillis();
        return awaitUrgent(cluster, submitUrgent(cluster, key), start);
    }

    private static String submitUrgent(Cluster cluster, String key) throws Exception {
        GangRequest gang =
                new GangRequest(
                        "planner",
                        "render",
                        REGION,
                        "2x8@rack",
                        true,
                        5_000,
                        "run-ms=500",
                        "urgent-" + key);
        BufferedHttpResponse answer =
                cluster.mCaller.submitGang(cluster.mEntries.get(1).callers(), gang, 15_000).get();
        assertThat(answer.status()).as(answer.text()).isEqualTo(202);
        return Json.read(answer.text(), GangStatus.class).job();
    }

    /** Returns the time from the submission to the start of the last member. */
    private static long awaitUrgent(Cluster cluster, String job, long start) throws Exception {
        Cluster.await(
                URGENT_MILLIS,
                "both members of the urgent gang run",
                () -> runsOf(cluster, job).size() == 2);
        return runsOf(cluster, job).stream().mapToLong(TaskRun::startMs).max().orElseThrow()
                - start;
    }

    /** Returns a borrower that was asked to stop. */
    private static Optional<String> reclaimed(Cluster cluster, Set<String> borrowers)
            throws Exception {
        for (String job : borrowers) {
            String status = cluster.mCaller.get(cluster.callers().get(0), "/v1/gangs/" + job);
            if (Json.read(status, GangStatus.class).state().equals("RECLAIMING")) {
                return Optional.of(job);
            }
        }
        return Optional.empty();
    }

    private static List<TaskRun> runsOf(Cluster cluster, String job) {
        List<TaskRun> runs = new ArrayList<>(cluster.runs());
        runs.removeIf(r -> !r.job().equals(job));
        return runs;
    }

    private static long running(Cluster cluster) {
        return cluster.runs().stream().filter(r -> r.ended().isEmpty()).count();
    }

    private static BufferedHttpResponse request(Cluster cluster, int number, boolean booking)
            throws Exception {
        Map<String, String> headers =
                booking
                        ? Map.of(
                                "Lycheeroad-Team", "booking",
                                "Idempotency-Key", "down-" + number,
                                "Lycheeroad-Not-Repeatable", "true")
                        : Map.of("Lycheeroad-Team", "planner");
        String kind = booking ? "booking" : "layout-check";
        return cluster.mCaller
                .call(
                        cluster.mEntries.get(number % 4).callers(),
                        "POST",
                        "/v1/requests/" + kind,
                        headers,
                        kind + number + " work-ms=5",
                        15_000)
                .get();
    }
}
