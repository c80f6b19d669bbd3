package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.WorkState;

/** One accepted job. */
final class Job {
    public final JobId id;
    public final JobRecord record;

    /** When the job was accepted, on the scheduler's clock. */
    public final long acceptedAtMs;

    /** The occurrences that are due, by number. */
    public final TreeMap<Integer, List<StepInstance>> occurrences = new TreeMap<>();

    /** The newest configuration of the job's queue. */
    public QueueConfig queue;

    public WorkState state = WorkState.QUEUED;

    /** Rises with each change of what the store has to keep. */
    public long version;

    public long savedVersion;
    public long endedAtMs;

    Job(JobId id, JobRecord record, QueueConfig queue, long acceptedAt) {
        this.id = id;
        this.record = record;
        this.queue = queue;
        this.acceptedAtMs = acceptedAt;
    }

    /** Creates the occurrences that are due and returns whether there were any. */
    boolean addDueOccurrences(long wallMs) {
        boolean added = false;
        int next = occurrences.isEmpty() ? 0 : occurrences.lastKey() + 1;
        while (next < record.plan().occurrences() && record.plan().dueAtMs(next) <= wallMs) {
            addOccurrence(next);
            next++;
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

    /** Returns whether a step's tasks may start. */
    boolean isReady(StepInstance step) {
        List<StepInstance> steps = occurrences.get(step.occurrence);
        for (int before : step.plan.after()) {
            if (!steps.get(before).isDone()) {
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

    /** Returns the time that the rest of the job takes at least, in milliseconds. */
    long remainingCriticalPathMs(int occurrence, DurationEstimator durations) {
        List<StepInstance> steps = occurrences.get(occurrence);
        long[] end = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < end.length; i++) {
            StepInstance step = steps.get(i);
            long begin = 0;
            for (int before : step.plan.after()) {
                begin = Math.max(begin, end[before]);
            }
            long own = step.isDone() ? 0 : durations.expectedMs(record.queue(), step.plan);
            end[i] = begin + own;
            longest = Math.max(longest, end[i]);
        }
        return longest;
    }

    /** Returns the time that the whole job takes at least, in milliseconds. */
    long criticalPathMs(DurationEstimator durations) {
        List<StepPlan> steps = record.plan().steps();
        long[] end = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < end.length; i++) {
            long begin = 0;
            for (int before : steps.get(i).after()) {
                begin = Math.max(begin, end[before]);
            }
            end[i] = begin + durations.expectedMs(record.queue(), steps.get(i));
            longest = Math.max(longest, end[i]);
        }
        return longest;
    }

    ProgressRecord toProgressRecord() {
        List<TaskProgress> rows = new ArrayList<>();
        for (List<StepInstance> steps : occurrences.values()) {
            for (StepInstance step : steps) {
                for (Task task : step.tasks) {
                    if (task.attempt > 0 || task.done) {
                        rows.add(toTaskProgress(task));
                    }
                }
            }
        }
        return new ProgressRecord(state, rows);
    }

    private static TaskProgress toTaskProgress(Task task) {
        Run run = task.run;
        return new TaskProgress(
                task.ref.occurrence(),
                task.ref.step(),
                task.ref.index(),
                task.attempt,
                task.step.plan.gang() ? task.step.gangFailures : task.failures,
                task.done,
                run == null ? null : run.worker.id,
                run == null ? 0 : run.workerIncarnation,
                task.step.checkpointFor(task));
    }
}
