package org.lycheeroad.coordination.jobs;

import java.util.HashSet;
import java.util.Set;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.TaskRef;

/** A task of a step and its progress. */
final class Task {
    public final TaskRef ref;
    public final StepInstance step;

    /** The workers on which a run of this task failed or stalled. */
    public final Set<WorkerId> failedWorkers = new HashSet<>();

    /** The number of the newest run; 0 before the first. */
    public int attempt;

    public int failures;

    /** How many runs were stopped to move the task off a slow worker. */
    public int moves;

    /**
     * For how long the last stopped run had worked without saving the result; {@link
     * LostWork#UNKNOWN_MS} if an earlier owner stopped it.
     */
    public long lostMs;

    /** Whether a run has succeeded. */
    public boolean done;

    public String checkpoint = "";

    /** The current run, or null if the task has none. */
    public Run run;

    Task(TaskRef ref, StepInstance step) {
        this.ref = ref;
        this.step = step;
    }

    boolean isPending() {
        return !done && run == null;
    }
}
