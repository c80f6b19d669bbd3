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

/** Guards against violations of the guarantees that must hold during a long store outage. */
class StoreOutageTest {
    private static final String REGION = "mazowsze";
    private static final long URGENT_START_TIMEOUT_MS = 8_600;

    /**
     * The time from the checkpoint request to the stop of a gang; see section 3.3 of the design.
     */
    private static final long CHECKPOINT_GRACE_MS = 3_000;

    /**
     * The first calls still wait for the store; later calls are rejected without waiting because
     * the entry has detected the outage.
     */
    private static final long MAX_REJECTION_MS = 1_500;

    @Test
    void urgentGangReclaimsItsGuaranteeWithAndWithoutTheStore() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            Set<String> borrowingJobs = occupyAllWorkers(cluster);
            long withStoreMs = submitUrgentAndMeasureStartMs(cluster, "up");
            cluster.setStoreFault("down", 0, 0);
            Thread.sleep(3_000);
            long withoutStoreMs = submitUrgentAndMeasureStartMs(cluster, "down");
            System.out.println(
                    "measured: urgent start "
                            + withStoreMs
                            + " ms, store down "
                            + withoutStoreMs
                            + " ms");
            cluster.setStoreFault("none", 0, 0);
            assertThat(withStoreMs).isLessThan(URGENT_START_TIMEOUT_MS);
            assertThat(withoutStoreMs).isLessThan(URGENT_START_TIMEOUT_MS);
            assertThat(borrowingJobs).isNotEmpty();
            assertThat(cluster.findPartialGangs(Set.of())).isEmpty();
        }
    }

    /** Guards against reclaims that are not restarted when one of the chosen workers dies. */
    @Test
    void urgentGangStartsInTimeWhenAReclaimedWorkerDies() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            Set<String> borrowingJobs = occupyAllWorkers(cluster);
            long startMs = System.currentTimeMillis();
            String urgentJob = submitUrgent(cluster, "dies");
            Cluster.await(
                    CHECKPOINT_GRACE_MS,
                    "a borrowing job is asked to stop",
                    () -> findReclaimingJob(cluster, borrowingJobs).isPresent());
            String borrowingJob = findReclaimingJob(cluster, borrowingJobs).orElseThrow();
            String worker = runsOf(cluster, borrowingJob).get(0).worker();
            Thread.sleep(CHECKPOINT_GRACE_MS - 1_000);
            cluster.mWorkers.forEach(w -> w.setFault(new WorkerFault(worker, "kill")));
            long startDelayMs = awaitUrgentStartMs(cluster, urgentJob, startMs);
            System.out.println("measured: urgent start after worker death " + startDelayMs + " ms");
            assertThat(startDelayMs).isLessThan(URGENT_START_TIMEOUT_MS);
            assertThat(runsOf(cluster, urgentJob)).noneMatch(r -> r.worker().equals(worker));
            assertThat(cluster.findPartialGangs(Set.of())).isEmpty();
        }
    }

    @Test
    void notRepeatableRequestsAreRejectedQuicklyAndOthersStillRun() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            cluster.setStoreFault("down", 0, 0);
            Thread.sleep(2_500);
            for (int i = 0; i < 20; i++) {
                long startNanos = System.nanoTime();
                BufferedHttpResponse notRepeatable = sendRequest(cluster, i, true);
                assertThat(notRepeatable.header("Lycheeroad-Outcome")).isEqualTo("not-run");
                assertThat((System.nanoTime() - startNanos) / 1_000_000)
                        .isLessThan(MAX_REJECTION_MS);
                BufferedHttpResponse repeatable = sendRequest(cluster, i, false);
                assertThat(repeatable.header("Lycheeroad-Outcome")).isEqualTo("done");
            }
            assertThat(cluster.executionsByBody().keySet()).noneMatch(b -> b.contains("booking"));
        }
    }

    /** Occupies all workers of the region with gangs of a team that has no guarantee. */
    private static Set<String> occupyAllWorkers(Cluster cluster) throws Exception {
        Set<String> jobs = new HashSet<>();
        int workerCount = cluster.mWorkers.size() * 5;
        for (int i = 0; i < workerCount; i++) {
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
            BufferedHttpResponse response =
                    cluster.mClient
                            .submitGang(cluster.mEntries.get(0).callerAddress(), gang, 10_000)
                            .get();
            assertThat(response.status()).as(response.text()).isEqualTo(202);
            jobs.add(Json.read(response.text(), GangStatus.class).job());
        }
        Cluster.await(
                15_000,
                "all workers are occupied by borrowing jobs",
                () -> runningTaskCount(cluster) == workerCount);
        return jobs;
    }

    private static long submitUrgentAndMeasureStartMs(Cluster cluster, String key)
            throws Exception {
        long startMs = System.currentTimeMillis();
        return awaitUrgentStartMs(cluster, submitUrgent(cluster, key), startMs);
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
        BufferedHttpResponse response =
                cluster.mClient
                        .submitGang(cluster.mEntries.get(1).callerAddress(), gang, 15_000)
                        .get();
        assertThat(response.status()).as(response.text()).isEqualTo(202);
        return Json.read(response.text(), GangStatus.class).job();
    }

    /** Returns the time in milliseconds from the submission to the start of the last member. */
    private static long awaitUrgentStartMs(Cluster cluster, String job, long startMs)
            throws Exception {
        Cluster.await(
                URGENT_START_TIMEOUT_MS,
                "both members of the urgent gang run",
                () -> runsOf(cluster, job).size() == 2);
        return runsOf(cluster, job).stream().mapToLong(TaskRun::startMs).max().orElseThrow()
                - startMs;
    }

    /** Returns a borrowing job whose workers are being reclaimed. */
    private static Optional<String> findReclaimingJob(Cluster cluster, Set<String> borrowingJobs)
            throws Exception {
        for (String job : borrowingJobs) {
            String status =
                    cluster.mClient.get(cluster.callerAddresses().get(0), "/v1/gangs/" + job);
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

    private static long runningTaskCount(Cluster cluster) {
        return cluster.runs().stream().filter(r -> r.ended().isEmpty()).count();
    }

    private static BufferedHttpResponse sendRequest(
            Cluster cluster, int number, boolean notRepeatable) throws Exception {
        Map<String, String> headers =
                notRepeatable
                        ? Map.of(
                                "Lycheeroad-Team", "booking",
                                "Idempotency-Key", "down-" + number,
                                "Lycheeroad-Not-Repeatable", "true")
                        : Map.of("Lycheeroad-Team", "planner");
        String kind = notRepeatable ? "booking" : "layout-check";
        return cluster.mClient
                .call(
                        cluster.mEntries.get(number % 4).callerAddress(),
                        "POST",
                        "/v1/requests/" + kind,
                        headers,
                        kind + number + " work-ms=5",
                        15_000)
                .get();
    }
}
