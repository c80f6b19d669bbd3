package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;

/** One step of one occurrence of a job. */
final class StepInstance {
    public final Job job;
    public final int occurrence;
    public final int index;
    public final StepPlan plan;
    public final List<Task> tasks = new ArrayList<>();

    /** When the step's tasks could first have started; negative before that. */
    public long readySinceMs = -1;

    /** The newest attempt whose failure was counted, for gangs. */
    public int lastFailedGangAttempt;

    public int gangFailures;

    /** What the queue's placement policy has answered, if it has one. */
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

    boolean isDone() {
        for (Task task : tasks) {
            if (!task.done) {
                return false;
            }
        }
        return true;
    }

    /** Returns the tasks that wait for a start; for a gang only when all of it can start. */
    List<Task> startableTasks() {
        List<Task> waiting = new ArrayList<>();
        for (Task task : tasks) {
            if (task.isPending()) {
                waiting.add(task);
            }
        }
        return plan.gang() && waiting.size() < tasks.size() ? List.of() : waiting;
    }

    boolean hasStartableTasks() {
        boolean some = false;
        for (Task task : tasks) {
            if (task.isPending()) {
                some = true;
            } else if (plan.gang()) {
                return false;
            }
        }
        return some;
    }

    /** Returns whether the queue's placement policy, if there is one, lets a worker be used now. */
    boolean isAllowedByPolicy(Worker worker, long nowMs) {
        return job.queue.advice() == null || policyDecisions.hasValidTicket(worker, nowMs);
    }

    /** Returns the number of the next attempt, which all members of a gang share. */
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

    /** Returns the progress to resume from; members of a gang share one value. */
    String checkpointFor(Task task) {
        if (!plan.checkpointing()) {
            return "";
        }
        return plan.gang() ? gangCheckpoint : task.checkpoint;
    }

    /** The newest saved progress of any member of a gang. */
    public String gangCheckpoint = "";

    /** Keeps the newest saved progress. */
    void recordCheckpoint(Task task, String checkpoint) {
        if (!checkpoint.isEmpty()) {
            task.checkpoint = checkpoint;
            gangCheckpoint = checkpoint;
        }
    }
}
