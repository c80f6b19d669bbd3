package org.lycheeroad.coordination.jobs;

import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.RunRef;

/**
 * A step that waits although free workers could take its waiting tasks twice over.
 *
 * @param waitedMs for how long some task of the step has waited
 * @param waitingTasks the number of tasks that wait
 * @param roomForTasks how many tasks of the step fit into the free resources of its service
 * @param workers how many workers of its service take no task, by the first reason
 * @param awaitedRuns the runs that have to be over before the step can start; not complete
 */
public record StalledStep(
        JobId job,
        int occurrence,
        int step,
        String cause,
        long waitedMs,
        int waitingTasks,
        int roomForTasks,
        Map<PlacementBarrier, Integer> workers,
        List<AwaitedRun> awaitedRuns) {
    /** The cause of a step that no worker belongs to the service of. */
    static final String NO_WORKERS = "NO_WORKERS";

    /** The cause of a step of which some runs are not known to be over. */
    static final String RUNS_NOT_OVER = "RUNS_NOT_OVER";

    /**
     * A run that is not known to be over.
     *
     * @param phase the name of the phase that the run is in
     * @param ageMs the time since its start was first sent, or since it was restored from the
     *     record of an earlier owner
     */
    public record AwaitedRun(RunRef run, String phase, WorkerId worker, long ageMs) {}
}
