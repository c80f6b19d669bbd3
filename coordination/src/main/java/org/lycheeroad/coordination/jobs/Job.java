package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.QueueSettings;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.WorkState;

/** An accepted job. */
final class Job {
    public final JobId id;
    public final JobRecord record;

    /** When the job was accepted, on the owner's steady clock. */
    public final long acceptedAtMs;

    /** The step instances of the occurrences that have come due, by occurrence number. */
    public final TreeMap<Integer, List<StepInstance>> occurrences = new TreeMap<>();

    /**
     * The settings of the job's queue in the newest configuration that has it, as far as this owner
     * knows, or else those at the time of the acceptance.
     */
    public QueueSettings queue;

    public WorkState state = WorkState.QUEUED;

    /** Increases with each change to the progress that has to be saved. */
    public long version;

    public long savedVersion;
    public long endedAtMs;

    /**
     * The first occurrence that has not been found due. Occurrences may start in any order, so
     * saved progress may lack an occurrence before one that it has.
     */
    private int mNextOccurrence;

    Job(JobId id, JobRecord record, QueueSettings queue, long acceptedAt) {
        this.id = id;
        this.record = record;
        this.queue = queue;
        this.acceptedAtMs = acceptedAt;
    }

    /** Creates the occurrences that are due and returns whether there were any. */
    boolean addDueOccurrences(long wallMs) {
        boolean added = false;
        while (mNextOccurrence < record.plan().occurrences()
                && record.plan().dueAtMs(mNextOccurrence) <= wallMs) {
            addOccurrence(mNextOccurrence);
            mNextOccurrence++;
            added = true;
        }
        return added;
    }

    List<StepInstance> addOccurrence(int number) {
        return occurrences.computeIfAbsent(
                number,
                k -> {
                    List<StepInstance> steps = new ArrayList<>();
                    for (int i = 0; i < record.plan().steps().size(); i++) {
                        steps.add(new StepInstance(this, number, i));
                    }
                    return steps;
                });
    }

    /** Returns whether all steps that a step depends on are done. */
    boolean isReady(StepInstance step) {
        List<StepInstance> steps = occurrences.get(step.occurrence);
        for (int predecessor : step.plan.after()) {
            if (!steps.get(predecessor).isDone()) {
                return false;
            }
        }
        return true;
    }

    boolean isDone() {
        if (occurrences.size() < record.plan().occurrences()) {
            return false;
        }
        for (List<StepInstance> steps : occurrences.values()) {
            for (StepInstance step : steps) {
                if (!step.isDone()) {
                    return false;
                }
            }
        }
        return true;
    }

    boolean isSaved() {
        return savedVersion == version;
    }

    void incrementVersion() {
        version++;
    }

    /** Returns the expected duration of the longest chain of unfinished steps. */
    long remainingCriticalPathMs(int occurrence, DurationEstimator estimator) {
        List<StepInstance> steps = occurrences.get(occurrence);
        long[] endMs = new long[steps.size()];
        long longestMs = 0;
        for (int i = 0; i < endMs.length; i++) {
            StepInstance step = steps.get(i);
            long startMs = 0;
            for (int predecessor : step.plan.after()) {
                startMs = Math.max(startMs, endMs[predecessor]);
            }
            long durationMs = step.isDone() ? 0 : step.expectedMs(estimator);
            endMs[i] = startMs + durationMs;
            longestMs = Math.max(longestMs, endMs[i]);
        }
        return longestMs;
    }

    /** Returns the expected duration of the longest chain of dependent steps. */
    long criticalPathMs(DurationEstimator estimator) {
        List<StepPlan> steps = record.plan().steps();
        long[] endMs = new long[steps.size()];
        long longestMs = 0;
        for (int i = 0; i < endMs.length; i++) {
            long startMs = 0;
            for (int predecessor : steps.get(i).after()) {
                startMs = Math.max(startMs, endMs[predecessor]);
            }
            endMs[i] = startMs + expectedMs(i, estimator);
            longestMs = Math.max(longestMs, endMs[i]);
        }
        return longestMs;
    }

    /** Returns the expected duration of a step; its newest occurrence may have been observed. */
    private long expectedMs(int step, DurationEstimator estimator) {
        return occurrences.isEmpty()
                ? estimator.expectedMs(record.queue(), record.plan().steps().get(step))
                : occurrences.lastEntry().getValue().get(step).expectedMs(estimator);
    }

    ProgressRecord toProgressRecord() {
        List<TaskProgress> tasks = new ArrayList<>();
        for (List<StepInstance> steps : occurrences.values()) {
            for (StepInstance step : steps) {
                for (Task task : step.tasks) {
                    // Of an ended job, only runs that may still exist matter to a later owner.
                    if (state.isEnded() ? task.run != null : task.attempt > 0 || task.done) {
                        tasks.add(toTaskProgress(task));
                    }
                }
            }
        }
        return new ProgressRecord(state, tasks);
    }

    private static TaskProgress toTaskProgress(Task task) {
        Run run = task.run;
        StepInstance step = task.step;
        return new TaskProgress(
                task.ref.occurrence(),
                task.ref.step(),
                task.ref.index(),
                task.attempt,
                step.plan.gang() ? step.gangFailures : task.failures,
                step.lastFailedGangAttempt,
                task.done,
                run == null ? null : run.worker.id,
                run == null ? 0 : run.workerIncarnation,
                step.checkpointFor(task));
    }
}
