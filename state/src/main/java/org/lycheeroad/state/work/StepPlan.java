package org.lycheeroad.state.work;

import java.util.List;

/**
 * One step of a job: equal tasks that need the same things.
 *
 * @param count the number of tasks
 * @param need what each task uses
 * @param estimateMs the caller's rough estimate of a task's duration in milliseconds
 * @param after the numbers of earlier steps that must be done first
 * @param gang whether the tasks run all together or not at all
 * @param rackLocal whether the tasks are slow unless all run on one rack
 * @param requiredLabel a label that the worker must have, or an empty string
 * @param dataRack the rack on which the tasks find their data, or an empty string
 * @param maxPerWorker the most tasks of one occurrence on one worker; 0 for no bound
 * @param checkpointing whether the tasks save their progress
 * @param speculative whether copies of a task may run in parallel
 * @param longRunning whether the tasks run until the job is cancelled
 * @param fills whether the tasks take only processor time that others leave
 * @param tailTargetMs the bound of the tasks' own response times in milliseconds; 0 for none
 * @param mayMiss how many long-running tasks the scheduler may keep away at a time
 * @param image what the tasks run; tasks of one image behave alike
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

    /** Returns a step of plain tasks that neither depend on others nor ask for a place. */
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

    /** Returns the room that a task takes on a worker; filling tasks reserve no processor time. */
    public Resources reservedResources() {
        return fills ? new Resources(0, need.memoryMb(), need.accelerators()) : need;
    }

    /** Returns whether the tasks serve users of their own and suffer from filling tasks. */
    public boolean servesUsers() {
        return longRunning && tailTargetMs > 0;
    }
}
