package org.lycheeroad.state.work;

import java.util.List;
import org.lycheeroad.state.id.WorkerId;

/**
 * What the store keeps of a job's progress.
 *
 * @param tasks the tasks that have had a run; all others have not started
 */
public record ProgressRecord(WorkState state, List<TaskProgress> tasks) {
    public ProgressRecord {
        tasks = List.copyOf(tasks);
    }

    /**
     * The progress of one task.
     *
     * @param attempt the number of its newest run
     * @param failures how many runs have failed
     * @param done whether a run ended successfully
     * @param worker the worker that may have the newest run, or null if that run is over
     * @param workerBornMs the incarnation of that worker
     * @param checkpoint the newest saved progress, or an empty string
     */
    public record TaskProgress(
            int occurrence,
            int step,
            int index,
            int attempt,
            int failures,
            boolean done,
            WorkerId worker,
            long workerBornMs,
            String checkpoint) {}
}
