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
import org.lycheeroad.state.work.WorkerStatus;

/** What the scheduler knows of one worker. */
final class Worker {
    /** An end that the worker has listed and that waits to be saved. */
    record ListedEnd(long number, JobId job, long version) {}

    /** Room kept for a step that waits for runs to end. */
    static final class Claim {
        public final StepRun step;
        public final long expiresAt;

        /** Whether runs were stopped for it, rather than left to end. */
        public final boolean reclaimed;

        public int tasks;

        Claim(StepRun step, int tasks, boolean reclaimed, long expiresAt) {
            this.step = step;
            this.tasks = tasks;
            this.reclaimed = reclaimed;
            this.expiresAt = expiresAt;
        }

        Resources room() {
            return step.plan.reservedResources().times(tasks);
        }
    }

    public final WorkerId id;
    public final Map<RunRef, Run> runs = new LinkedHashMap<>();

    /** Runs that the worker has and that the scheduler did not record. */
    public final Set<RunRef> strangers = new HashSet<>();

    public final List<Claim> claims = new ArrayList<>();
    public final Deque<ListedEnd> listedEnds = new ArrayDeque<>();

    /** The steps whose runs failed here without a success since. */
    public final Set<StepRun> failedSteps = new HashSet<>();

    public WorkerStatus entry;
    public long bornMs;
    public boolean listed;

    /** Whether the worker has answered this owner. */
    public boolean seen;

    public boolean silent;

    /** The earliest time at which a draining worker leaves. */
    public long leavesAt = Long.MAX_VALUE;

    public long newestEnd;
    public long observed;
    public long quarantinedUntil;
    public long quarantineMs;

    /** How many starts the worker has refused since it last took one. */
    public int refusals;

    /** When the worker last wrote its entry. */
    public long heardAt;

    /** The share of their speed, in percent, at which filling tasks work beside serving ones. */
    public int fillPercent = 100;

    private Resources mUsed = Resources.NONE;

    Worker(WorkerId id) {
        this.id = id;
    }

    void add(Run run) {
        runs.put(run.ref, run);
        mUsed = mUsed.plus(run.room);
    }

    void remove(Run run) {
        if (runs.remove(run.ref, run)) {
            mUsed = mUsed.minus(run.room);
        }
    }

    Resources used() {
        return mUsed;
    }

    Resources free() {
        return entry.capacity().minus(mUsed);
    }

    /** Returns the free room less what is kept for other steps. */
    Resources freeFor(StepRun step) {
        Resources free = free();
        for (Claim claim : claims) {
            if (claim.step != step) {
                free = free.minus(claim.room());
            }
        }
        return free;
    }

    /** Returns whether new runs may be sent here. */
    boolean isUsable(long now) {
        return listed
                && seen
                && !silent
                && !entry.draining()
                && strangers.isEmpty()
                && now >= quarantinedUntil;
    }

    int runsOf(StepRun step) {
        int count = 0;
        for (Run run : runs.values()) {
            if (run.task.step == step) {
                count++;
            }
        }
        return count;
    }

    boolean hasServing() {
        return runs.values().stream().anyMatch(r -> r.task.step.plan.servesUsers());
    }

    boolean hasFilling() {
        return fillingRuns() > 0;
    }

    int fillingRuns() {
        return (int) runs.values().stream().filter(r -> r.task.step.plan.fills()).count();
    }
}
