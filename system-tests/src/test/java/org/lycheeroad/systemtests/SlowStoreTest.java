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

/** Guards against gangs that run again because the store learns of their end late. */
class SlowStoreTest {
    private static final String REGION = "mazowsze";
    private static final int GANGS = 12;
    private static final long END_MILLIS = 60_000;

    /** Longer than the shortest gangs run, and short enough for the callers' writes. */
    private static final long STORE_DELAY_MILLIS = 600;

    @Test
    void everyMemberRunsOnceWhenStatesArriveAfterTheEnd() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            cluster.storeFault("slow", STORE_DELAY_MILLIS, 0);
            GangLoadGenerator gangs = load(cluster, 21);

            gangs.submitAll(GANGS, 50);

            check(cluster, gangs);
            assertThat(cluster.runs())
                    .extracting(run -> run.job() + "/" + run.member())
                    .doesNotHaveDuplicates();
        }
    }

    @Test
    void aNewOwnerDoesNotRunFinishedGangsAgain() throws Exception {
        try (Cluster cluster = Cluster.start(Cluster.FOUR)) {
            EntryProcess owner = cluster.owner(REGION);
            GangLoadGenerator gangs = load(cluster, 22);
            cluster.storeFault("slow", STORE_DELAY_MILLIS, 0);
            gangs.submitAll(GANGS, 50);
            Cluster.await(20_000, "gangs have ended", () -> finished(cluster).size() >= GANGS / 3);
            owner.kill();
            Cluster.await(
                    30_000,
                    "another entry owns the placement",
                    () -> cluster.findOwner(REGION, owner).isPresent());

            check(cluster, gangs);
            assertThat(rerun(cluster)).isEmpty();
        }
    }

    private static GangLoadGenerator load(Cluster cluster, long seed) {
        return new GangLoadGenerator(
                cluster.mCaller, cluster.callers(), List.of(REGION), "slow-" + seed, seed);
    }

    private static void check(Cluster cluster, GangLoadGenerator gangs)
            throws InterruptedException {
        gangs.awaitAll(END_MILLIS);
        assertThat(gangs.failures()).isEmpty();
        assertThat(gangs.doneJobs()).hasSize(GANGS);
        assertThat(cluster.partialGangs(gangs.doneJobs())).isEmpty();
    }

    /** Returns the jobs of which one attempt ended with all members done. */
    private static Set<String> finished(Cluster cluster) {
        return attempts(cluster).values().stream()
                .filter(SlowStoreTest::isDone)
                .map(attempt -> attempt.get(0).job())
                .collect(toSet());
    }

    /** Returns the jobs that ran in another attempt after one in which all members were done. */
    private static List<String> rerun(Cluster cluster) {
        List<String> rerun = new ArrayList<>();
        Map<String, List<List<TaskRun>>> byJob =
                attempts(cluster).values().stream()
                        .collect(groupingBy(attempt -> attempt.get(0).job()));
        byJob.forEach(
                (job, attempts) -> {
                    long last =
                            attempts.stream()
                                    .mapToLong(a -> a.get(0).startMs())
                                    .max()
                                    .orElseThrow();
                    if (attempts.stream().anyMatch(a -> isDone(a) && a.get(0).startMs() < last)) {
                        rerun.add(job);
                    }
                });
        return rerun;
    }

    private static Map<String, List<TaskRun>> attempts(Cluster cluster) {
        return cluster.runs().stream().collect(groupingBy(run -> run.job() + "/" + run.attempt()));
    }

    private static boolean isDone(List<TaskRun> attempt) {
        return attempt.size() == attempt.get(0).members()
                && attempt.stream().allMatch(run -> run.ended().equals("DONE"));
    }
}
