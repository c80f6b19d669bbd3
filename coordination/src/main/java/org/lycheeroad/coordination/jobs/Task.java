package org.lycheeroad.coordination.jobs;

import java.util.HashSet;
import java.util.Set;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.TaskRef;

/** One task and its progress. */
final class Task {
    public final TaskRef ref;
    public final StepInstance step;

    /** The workers on which a run failed or stood still. */
    public final Set<WorkerId> failedWorkers = new HashSet<>();

    public int attempt;
    public int failures;
    public boolean done;
    public String checkpoint = "";

    /** The run that may exist, or null. */
    public Run run;

    Task(TaskRef ref, StepInstance step) {
        this.ref = ref;
        this.step = step;
    }

    boolean isPending() {
        return !done && run == null;
    }
}
