package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;

/**
 * Checks progress by the actual state of the workers: a job does not stand still for 3 s while one
 * of its steps is ready beside room for it twice over and under half of the capacity is in use, and
 * a task that lasts runs again within 9 s, however much is in use.
 */
final class LivenessCheck {
    private static final long MAX_STANDSTILL_MS = 3_000;

    /** How long after its last run the standstill of a task that lasts counts. */
    private static final long LASTING_GRACE_MS = 6_000;

    /**
     * How long before a standstill of a task that lasts nothing may have disturbed the system: 4 s
     * by the rule, and 0.6 s as for {@link #JOBS_GRACE_MS}, which the 3 s of standstill are part
     * of.
     */
    private static final long CALM_MS = 4_600;

    /**
     * After the last fault: the leases of a lost worker expire within 6.6 s, then the ends of its
     * runs are saved and the step starts within a second.
     */
    private static final long JOBS_GRACE_MS = 7_600;

    /**
     * A start without an answer may still arrive for 15 s at a worker that has restarted, and the
     * lease that it begins lasts for up to 6.6 s.
     */
    private static final long LATE_START_MS = 21_600;

    /** A start that was not answered, and the incarnation of the worker it was sent to. */
    private record UnansweredStart(LivenessWorker worker, long incarnation, long sentAtMs) {}

    private final Collection<LivenessWorker> mWorkers;
    private final BiPredicate<TaskRef, WorkerId> mPolicy;
    private final Map<TaskRef, Long> mLastRunEndsMs = new HashMap<>();
    private final Map<TaskRef, List<UnansweredStart>> mUnansweredStarts = new HashMap<>();

    /** Since when a job or a task that lasts could run and does not. */
    private final Map<Object, Long> mStandstillsMs = new HashMap<>();

    private final List<String> mViolations = new ArrayList<>();
    private long mLastDisturbanceMs;

    /**
     * Creates a check of workers.
     *
     * @param policy whether a task may run on a worker
     */
    LivenessCheck(Collection<LivenessWorker> workers, BiPredicate<TaskRef, WorkerId> policy) {
        mWorkers = workers;
        mPolicy = policy;
    }

    List<String> violations() {
        return mViolations;
    }

    void onDisturbance(long nowMs) {
        mLastDisturbanceMs = nowMs;
    }

    void onRunEnded(RunRef run, long nowMs) {
        mLastRunEndsMs.put(run.task(), nowMs);
    }

    void onUnansweredStart(RunRef run, LivenessWorker worker, long incarnation, long sentAtMs) {
        mUnansweredStarts
                .computeIfAbsent(run.task(), task -> new ArrayList<>())
                .add(new UnansweredStart(worker, incarnation, sentAtMs));
    }

    /** Checks the accepted jobs that are neither cancelled nor ended. */
    void check(
            Map<JobId, JobRecord> jobs,
            Map<JobId, ProgressRecord> saved,
            boolean faults,
            long now) {
        Set<TaskRef> running = new HashSet<>();
        Set<JobId> runningJobs = new HashSet<>();
        Resources capacity = Resources.NONE;
        Resources used = Resources.NONE;
        for (LivenessWorker worker : mWorkers) {
            if (worker.up) {
                capacity = capacity.plus(worker.identity.capacity());
                used = used.plus(worker.used());
                for (RunRef run : worker.runs.keySet()) {
                    running.add(run.task());
                    runningJobs.add(run.task().job());
                }
            }
        }
        double use = capacity.shareOf(used);
        boolean calm = now - mLastDisturbanceMs >= CALM_MS;
        boolean jobsCount = !faults && now - mLastDisturbanceMs >= JOBS_GRACE_MS && use < 0.5;
        jobs.forEach(
                (id, job) -> {
                    List<TaskRef> ready = readyTasks(id, job, saved.get(id), now);
                    List<TaskRef> standing = new ArrayList<>();
                    for (TaskRef task : ready) {
                        StepPlan step = job.plan().steps().get(task.step());
                        if (!step.longRunning()) {
                            standing.add(task);
                            continue;
                        }
                        long idleSince = mLastRunEndsMs.getOrDefault(task, job.acceptedAtMs());
                        boolean counts =
                                calm
                                        && !running.contains(task)
                                        && now - idleSince >= LASTING_GRACE_MS
                                        && !isExcused(task, now)
                                        && hasRoomTwice(task, step, now);
                        note(task, task, counts, step, use, now);
                    }
                    boolean free = jobsCount && !runningJobs.contains(id);
                    TaskRef first = null;
                    for (TaskRef task : free ? standing : List.<TaskRef>of()) {
                        if (isExcused(task, now)) {
                            first = null;
                            break;
                        }
                        StepPlan step = job.plan().steps().get(task.step());
                        first = first == null && hasRoomTwice(task, step, now) ? task : first;
                    }
                    StepPlan step = first == null ? null : job.plan().steps().get(first.step());
                    note(id, first, first != null, step, use, now);
                });
    }

    private void note(
            Object key, TaskRef task, boolean counts, StepPlan step, double use, long nowMs) {
        if (!counts) {
            mStandstillsMs.remove(key);
            return;
        }
        long since = mStandstillsMs.computeIfAbsent(key, k -> nowMs);
        if (nowMs - since > MAX_STANDSTILL_MS) {
            mStandstillsMs.put(key, Long.MAX_VALUE / 2);
            mViolations.add(
                    nowMs
                            + " STANDSTILL: "
                            + task
                            + " could run and does not, "
                            + Math.round(use * 100)
                            + "% in use, "
                            + step);
        }
    }

    /** Returns the tasks of ready steps that are not done as far as is saved. */
    private static List<TaskRef> readyTasks(
            JobId id, JobRecord job, ProgressRecord saved, long nowMs) {
        Set<TaskRef> done = new HashSet<>();
        for (TaskProgress task : saved == null ? List.<TaskProgress>of() : saved.tasks()) {
            if (task.done()) {
                done.add(new TaskRef(id, task.occurrence(), task.step(), task.index()));
            }
        }
        List<TaskRef> ready = new ArrayList<>();
        JobPlan plan = job.plan();
        for (int k = 0; k < plan.occurrences() && plan.dueAtMs(k) <= nowMs; k++) {
            Set<Integer> unfinished = new HashSet<>();
            for (int step = 0; step < plan.steps().size(); step++) {
                boolean isReady =
                        plan.steps().get(step).after().stream().noneMatch(unfinished::contains);
                for (int i = 0; i < plan.steps().get(step).count(); i++) {
                    TaskRef task = new TaskRef(id, k, step, i);
                    if (!done.contains(task)) {
                        unfinished.add(step);
                        if (isReady) {
                            ready.add(task);
                        }
                    }
                }
            }
        }
        return ready;
    }

    private boolean isExcused(TaskRef task, long nowMs) {
        return mUnansweredStarts.getOrDefault(task, List.of()).stream()
                .anyMatch(
                        start ->
                                nowMs - start.sentAtMs < LATE_START_MS
                                        && (!start.worker.up
                                                || start.worker.incarnation != start.incarnation));
    }

    private boolean hasRoomTwice(TaskRef task, StepPlan step, long nowMs) {
        return hasRoom(task, step, 2, nowMs);
    }

    /** Returns whether a job that has not ended is has room for a ready step. */
    boolean canProceed(JobId id, JobRecord job, ProgressRecord saved, long nowMs) {
        return readyTasks(id, job, saved, nowMs).stream()
                .anyMatch(task -> hasRoom(task, job.plan().steps().get(task.step()), 1, nowMs));
    }

    /** Returns whether there is room for a task or, if it is one of a gang, for the gang. */
    private boolean hasRoom(TaskRef task, StepPlan step, int times, long nowMs) {
        int needed = times * (step.gang() ? step.count() : 1);
        int room = 0;
        for (LivenessWorker worker : mWorkers) {
            boolean suits =
                    worker.isSound(nowMs)
                            && mPolicy.test(task, worker.identity.id())
                            && (step.requiredLabel().isEmpty()
                                    || worker.identity.labels().contains(step.requiredLabel()));
            if (suits) {
                int limit =
                        step.maxPerWorker() == 0
                                ? needed
                                : Math.max(0, step.maxPerWorker() - worker.runCountOf(task));
                room += step.reservedResources().maxCopiesIn(worker.free(), limit);
            }
        }
        return room >= needed;
    }
}
