package org.lycheeroad.systemtests;

import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.toSet;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lycheeroad.standins.demo.GangLoadGenerator;
import org.lycheeroad.standins.workers.TaskRun;

/** Guards against gangs that run again because their final state is stored late. */
class SlowStoreTest {
    private static final String REGION = "mazowsze";
    private static final int GANG_COUNT = 12;
    private static final long COMPLETION_TIMEOUT_MS = 60_000;

    /**
     * Longer than the run time of the shortest gangs, but short enough for callers' writes to
     * succeed.
     */
    private static final long STORE_DELAY_MS = 600;

    @Test
    void everyMemberRunsOnceWhenStateWritesCompleteAfterTheGangEnds() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            cluster.setStoreFault("slow", STORE_DELAY_MS, 0);
            GangLoadGenerator gangs = createLoad(cluster, 21);

            gangs.submitAll(GANG_COUNT, 50);

            awaitAndVerify(cluster, gangs);
            assertThat(cluster.runs())
                    .extracting(run -> run.job() + "/" + run.member())
                    .doesNotHaveDuplicates();
        }
    }

    @Test
    void newOwnerDoesNotRerunFinishedGangs() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR_ENTRY_LOCATIONS)) {
            EntryProcess owner = cluster.awaitOwner(REGION);
            GangLoadGenerator gangs = createLoad(cluster, 22);
            cluster.setStoreFault("slow", STORE_DELAY_MS, 0);
            gangs.submitAll(GANG_COUNT, 50);
            Cluster.await(
                    20_000,
                    "gangs have ended",
                    () -> finishedJobs(cluster).size() >= GANG_COUNT / 3);
            owner.kill();
            Cluster.await(
                    30_000,
                    "another entry owns the placement",
                    () -> cluster.findOwner(REGION, owner).isPresent());

            awaitAndVerify(cluster, gangs);
            assertThat(findRerunJobs(cluster)).isEmpty();
        }
    }

    private static GangLoadGenerator createLoad(Cluster cluster, long seed) {
        return new GangLoadGenerator(
                cluster.mClient, cluster.callerAddresses(), List.of(REGION), "slow-" + seed, seed);
    }

    private static void awaitAndVerify(Cluster cluster, GangLoadGenerator gangs)
            throws InterruptedException {
        gangs.awaitAll(COMPLETION_TIMEOUT_MS);
        assertThat(gangs.failures()).isEmpty();
        assertThat(gangs.doneJobs()).hasSize(GANG_COUNT);
        assertThat(cluster.findPartialGangs(gangs.doneJobs())).isEmpty();
    }

    /** Returns the jobs with an attempt in which all members ended as done. */
    private static Set<String> finishedJobs(Cluster cluster) {
        return runsByAttempt(cluster).values().stream()
                .filter(SlowStoreTest::isDone)
                .map(attempt -> attempt.get(0).job())
                .collect(toSet());
    }

    /**
     * Returns the jobs with a later attempt after an attempt in which all members ended as done.
     */
    private static List<String> findRerunJobs(Cluster cluster) {
        List<String> rerunJobs = new ArrayList<>();
        Map<String, List<List<TaskRun>>> byJob =
                runsByAttempt(cluster).values().stream()
                        .collect(groupingBy(attempt -> attempt.get(0).job()));
        byJob.forEach(
                (job, attempts) -> {
                    long lastStartMs =
                            attempts.stream()
                                    .mapToLong(a -> a.get(0).startMs())
                                    .max()
                                    .orElseThrow();
                    if (attempts.stream()
                            .anyMatch(a -> isDone(a) && a.get(0).startMs() < lastStartMs)) {
                        rerunJobs.add(job);
                    }
                });
        return rerunJobs;
    }

    private static Map<String, List<TaskRun>> runsByAttempt(Cluster cluster) {
        return cluster.runs().stream().collect(groupingBy(run -> run.job() + "/" + run.attempt()));
    }

    private static boolean isDone(List<TaskRun> attempt) {
        return attempt.size() == attempt.get(0).members()
                && attempt.stream().allMatch(run -> run.ended().equals("DONE"));
    }
}
