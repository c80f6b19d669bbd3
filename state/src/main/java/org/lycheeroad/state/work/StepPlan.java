package org.lycheeroad.state.work;

import java.util.List;

/**
 * A step of a job: a number of identical tasks.
 *
 * @param count the number of tasks
 * @param need the resources that each task uses
 * @param estimateMs the caller's estimate of the duration of a task, in milliseconds
 * @param after the indices of the earlier steps on which this step depends
 * @param gang whether the tasks are gang-scheduled, that is, run all together or not at all
 * @param rackLocal whether the tasks are slow unless all of them run on one rack
 * @param requiredLabel a label that the worker must have, or an empty string
 * @param dataRack the rack that holds the input data of the tasks, or an empty string
 * @param maxPerWorker the maximum number of tasks of one occurrence on one worker; 0 for no limit
 * @param checkpointing whether the tasks write checkpoints
 * @param speculative whether a task may be executed speculatively, in parallel copies
 * @param longRunning whether the tasks run until the job is cancelled
 * @param fills whether the tasks are best-effort: they use only CPU time that other tasks leave
 *     idle
 * @param tailTargetMs the target for the tail latency of the tasks' own responses, in milliseconds;
 *     0 for none
 * @param mayMiss the number of long-running tasks that the scheduler may keep from running at a
 *     time
 * @param image the image that the tasks run; tasks of one image are expected to behave alike
 */
public record StepPlan(
        int count,
        Resources need,
        long estimateMs,
        List<Integer> after,
        boolean gang,
        boolean rackLocal,
        String requiredLabel,
        String dataRack,
        int maxPerWorker,
        boolean checkpointing,
        boolean speculative,
        boolean longRunning,
        boolean fills,
        long tailTargetMs,
        int mayMiss,
        String image) {
    public StepPlan {
        if (count < 1) {
            throw new IllegalArgumentException("a step must have at least one task");
        }
        after = after == null ? List.of() : List.copyOf(after);
        requiredLabel = requiredLabel == null ? "" : requiredLabel;
        dataRack = dataRack == null ? "" : dataRack;
        image = image == null ? "" : image;
    }

    /** Returns a step without dependencies, placement constraints or other options. */
    public static StepPlan unconstrained(int count, Resources need, long estimateMs) {
        return new StepPlan(
                count,
                need,
                estimateMs,
                List.of(),
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                false,
                false,
                0,
                0,
                "");
    }

    /** Returns the resources reserved on a worker for a task; best-effort tasks reserve no CPU. */
    public Resources reservedResources() {
        return fills ? new Resources(0, need.memoryMb(), need.accelerators()) : need;
    }

    /** Returns whether the tasks serve users, whose latency suffers from best-effort tasks. */
    public boolean servesUsers() {
        return longRunning && tailTargetMs > 0;
    }
}
