package org.lycheeroad.state.work;

import java.util.List;
import org.lycheeroad.state.id.WorkerId;

/**
 * The stored progress of a job.
 *
 * @param tasks the tasks that have had at least one run
 */
public record ProgressRecord(WorkState state, List<TaskProgress> tasks) {
    public ProgressRecord {
        tasks = List.copyOf(tasks);
    }

    /**
     * The progress of one task.
     *
     * @param attempt the number of the most recent run
     * @param failures the number of failed runs; for a gang, the number of its attempts that failed
     * @param countedAttempt for a gang, the newest attempt that {@code failures} includes;
     *     otherwise 0
     * @param done whether a run completed successfully
     * @param worker the worker on which the most recent run may still be active, or null if that
     *     run has ended
     * @param workerBornMs the incarnation of that worker; see {@link
     *     WorkerStatus#incarnationStartMs}
     * @param checkpoint the latest checkpoint, or an empty string
     */
    public record TaskProgress(
            int occurrence,
            int step,
            int index,
            int attempt,
            int failures,
            int countedAttempt,
            boolean done,
            WorkerId worker,
            long workerBornMs,
            String checkpoint) {}
}
