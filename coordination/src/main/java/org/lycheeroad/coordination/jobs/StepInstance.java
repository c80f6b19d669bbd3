package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.coordination.overload.Verdict;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;

/** A step in one occurrence of a job. */
final class StepInstance {
    public final Job job;
    public final int occurrence;
    public final int index;
    public final StepPlan plan;
    public final List<Task> tasks = new ArrayList<>();

    /** When all steps that this one depends on were first found done; negative before that. */
    public long readySinceMs = -1;

    /**
     * Whether the step has waited long enough beside idle workers. It then starts wherever it fits,
     * also on what is kept free for other steps, and gets its turn at the placement policy.
     */
    public boolean idleWaitIsOver;

    /** Whether the room that the step needs counts in the mean of its queue. */
    public boolean countedInMeanRoom;

    /** The worst that was expected of the step under overload. */
    public Verdict worstVerdict = Verdict.IN_TIME;

    /** For gangs, the newest attempt whose failure has been counted. */
    public int lastFailedGangAttempt;

    public int gangFailures;

    /** The durations that the progress of the step's runs has shown. */
    public final ObservedDurations observedDurations = new ObservedDurations();

    /** The decisions of the queue's placement policy, if it has one. */
    public final PolicyDecisions policyDecisions = new PolicyDecisions();

    StepInstance(Job job, int occurrence, int number) {
        this.job = job;
        this.occurrence = occurrence;
        this.index = number;
        plan = job.record.plan().steps().get(number);
        for (int i = 0; i < plan.count(); i++) {
            tasks.add(new Task(new TaskRef(job.id, occurrence, number, i), this));
        }
    }

    /** Returns how many runs of the step have failed; the members of a gang count as one run. */
    int failureCount() {
        int failures = gangFailures;
        for (Task task : tasks) {
            failures += task.failures;
        }
        return failures;
    }

    /** Returns the expected duration of the step's tasks that have not started. */
    long expectedMs(DurationEstimator estimator) {
        if (observedDurations.isEmpty()) {
            return estimator.expectedMs(job.record.queue(), plan);
        }
        return plan.gang() ? observedDurations.longestMs() : observedDurations.medianMs();
    }

    boolean isDone() {
        for (Task task : tasks) {
            if (!task.done) {
                return false;
            }
        }
        return true;
    }

    /** Returns the pending tasks; for a gang, none unless all its tasks are pending. */
    List<Task> startableTasks() {
        List<Task> pending = new ArrayList<>();
        for (Task task : tasks) {
            if (task.isPending()) {
                pending.add(task);
            }
        }
        return plan.gang() && pending.size() < tasks.size() ? List.of() : pending;
    }

    boolean hasStartableTasks() {
        boolean found = false;
        for (Task task : tasks) {
            if (task.isPending()) {
                found = true;
            } else if (plan.gang()) {
                return false;
            }
        }
        return found;
    }

    /** Returns whether all tasks have a run of an attempt. */
    boolean isWhole(int attempt) {
        for (Task task : tasks) {
            if (task.run == null || task.run.ref.attempt() != attempt) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether some task is pending, or will be once its run has stopped. */
    boolean awaitsStart() {
        for (Task task : tasks) {
            if (!task.done && (task.run == null || task.run.phase == Run.Phase.STOPPING)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the queue has no placement policy, or a valid ticket for a worker. */
    boolean isAllowedByPolicy(Worker worker, long nowMs) {
        return job.queue.advice() == null || policyDecisions.hasValidTicket(worker, nowMs);
    }

    /** Returns the number of the next attempt; all tasks of a gang share one number. */
    int nextAttempt(Task task) {
        if (!plan.gang()) {
            return task.attempt + 1;
        }
        int newest = 0;
        for (Task member : tasks) {
            newest = Math.max(newest, member.attempt);
        }
        return newest + 1;
    }

    /** Returns the checkpoint to resume from, or an empty string; a gang shares one. */
    String checkpointFor(Task task) {
        if (!plan.checkpointing()) {
            return "";
        }
        return plan.gang() ? gangCheckpoint : task.checkpoint;
    }

    /** For gangs, the newest checkpoint of any task. */
    public String gangCheckpoint = "";

    /** Records a task's newest checkpoint; an empty one is ignored. */
    void recordCheckpoint(Task task, String checkpoint) {
        if (!checkpoint.isEmpty()) {
            task.checkpoint = checkpoint;
            gangCheckpoint = checkpoint;
        }
    }
}
