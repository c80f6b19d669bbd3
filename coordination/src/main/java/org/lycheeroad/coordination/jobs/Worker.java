package org.lycheeroad.coordination.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkerEntry;

/** What the scheduler knows of one worker. */
final class Worker {
    /** An end that the worker has listed and that waits to be saved. */
    record UnsavedEnd(long number, JobId job, long jobVersion) {}

    /** Room kept for a step that waits for runs to end. */
    static final class Reservation {
        public final StepInstance step;
        public final long expiresAtMs;

        /** Whether runs were stopped for it, rather than left to end. */
        public final boolean byPreemption;

        public int taskCount;

        Reservation(StepInstance step, int tasks, boolean reclaimed, long expiresAt) {
            this.step = step;
            this.taskCount = tasks;
            this.byPreemption = reclaimed;
            this.expiresAtMs = expiresAt;
        }

        Resources resources() {
            return step.plan.reserved().times(taskCount);
        }
    }

    public final WorkerId id;
    public final Map<RunRef, Run> runs = new LinkedHashMap<>();

    /** Runs that the worker has and that the scheduler did not record. */
    public final Set<RunRef> unrecordedRuns = new HashSet<>();

    public final List<Reservation> reservations = new ArrayList<>();
    public final Deque<UnsavedEnd> unsavedEnds = new ArrayDeque<>();

    /** The steps whose runs failed here without a success since. */
    public final Set<StepInstance> failedSteps = new HashSet<>();

    public WorkerEntry entry;
    public long incarnation;
    public boolean registered;

    /** Whether the worker has answered this owner. */
    public boolean hasAnswered;

    public boolean unresponsive;

    /** The earliest time at which a draining worker leaves. */
    public long leavesAtMs = Long.MAX_VALUE;

    public long newestEndNumber;
    public long acknowledgedEnd;
    public long quarantinedUntilMs;
    public long quarantineMs;

    /** How many starts the worker has refused since it last took one. */
    public int consecutiveRefusals;

    /** When the worker last wrote its entry. */
    public long lastHeartbeatAtMs;

    /** The share of their speed, in percent, at which filling tasks work beside serving ones. */
    public int bestEffortSpeedPercent = 100;

    private Resources mUsedResources = Resources.NONE;

    Worker(WorkerId id) {
        this.id = id;
    }

    void add(Run run) {
        runs.put(run.ref, run);
        mUsedResources = mUsedResources.plus(run.resources);
    }

    void remove(Run run) {
        if (runs.remove(run.ref, run)) {
            mUsedResources = mUsedResources.minus(run.resources);
        }
    }

    Resources usedResources() {
        return mUsedResources;
    }

    Resources freeResources() {
        return entry.capacity().minus(mUsedResources);
    }

    /** Returns the free room less what is kept for other steps. */
    Resources resourcesFreeFor(StepInstance step) {
        Resources free = freeResources();
        for (Reservation claim : reservations) {
            if (claim.step != step) {
                free = free.minus(claim.resources());
            }
        }
        return free;
    }

    /** Returns whether new runs may be sent here. */
    boolean isSchedulable(long nowMs) {
        return registered
                && hasAnswered
                && !unresponsive
                && !entry.draining()
                && unrecordedRuns.isEmpty()
                && nowMs >= quarantinedUntilMs;
    }

    int runCountOf(StepInstance step) {
        int count = 0;
        for (Run run : runs.values()) {
            if (run.task.step == step) {
                count++;
            }
        }
        return count;
    }

    boolean hasServingRuns() {
        return runs.values().stream().anyMatch(r -> r.task.step.plan.serves());
    }

    boolean hasBestEffortRuns() {
        return bestEffortRunCount() > 0;
    }

    int bestEffortRunCount() {
        return (int) runs.values().stream().filter(r -> r.task.step.plan.fills()).count();
    }
}
