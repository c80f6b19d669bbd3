package org.lycheeroad.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.task.TaskState;

/**
 * Runs gangs under random faults; {@link SimulatedCluster} checks after every tick that no gang
 * runs in part.
 */
class GangAtomicityPropertyTest {
    private static final List<String> SHAPES =
            List.of("1x4@worker", "2x4@any", "2x8@rack", "3x2@rack", "4x3@any");

    /**
     * Guards against partial runs, two attempts of a job at the same time, jobs falsely published
     * as not run or done, and jobs that do not end after the faults have ended.
     */
    @Property(seed = "20261204", tries = 150, shrinking = ShrinkingMode.OFF)
    void gangsNeverRunPartially(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedCluster cluster = new SimulatedCluster(new int[] {8, 8, 4}, new int[] {8, 8, 2});
        cluster.mRandom = new Random(seed + 1);
        cluster.mLossProbability = random.nextInt(3) * 0.1;
        cluster.mDuplicateProbability = random.nextInt(3) * 0.1;
        cluster.mMaxDelayMs = 1 + random.nextInt(300);
        cluster.mMaxPartialRunMs = 6_200 + 2L * cluster.mMaxDelayMs;
        List<SimulatedWorker> workers = new ArrayList<>(cluster.mWorkers.values());
        int jobs = 0;
        for (int step = 0; step < 120; step++) {
            cluster.runFor(random.nextInt(800));
            String job = "j" + random.nextInt(Math.max(1, jobs));
            SimulatedWorker worker = workers.get(random.nextInt(workers.size()));
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3 ->
                        cluster.submit(
                                "j" + jobs++, "t", SHAPES.get(random.nextInt(SHAPES.size())));
                case 4 -> cluster.cancel(job);
                case 5, 6 -> cluster.finish(job);
                case 7 -> worker.restart();
                case 8 -> worker.mAlive = false;
                case 9 -> worker.mPartitioned = !worker.mPartitioned;
                case 10 -> cluster.changeOwner();
                default -> cluster.endRunningTasksOn(worker, job, TaskState.FAILED);
            }
        }
        cluster.mLossProbability = 0;
        for (SimulatedWorker worker : workers) {
            worker.mPartitioned = false;
            if (!worker.mAlive) {
                worker.restart();
            }
        }
        for (int round = 0; round < 60 && hasUnfinishedJob(cluster); round++) {
            cluster.runFor(10_000);
            for (int job = 0; job < jobs; job++) {
                cluster.finish("j" + job);
            }
        }
        assertThat(cluster.mJobStates.values()).allMatch(JobState::isFinal);
    }

    private static boolean hasUnfinishedJob(SimulatedCluster cluster) {
        return cluster.mJobStates.values().stream().anyMatch(state -> !state.isFinal());
    }
}
