package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.StalledStep.AwaitedRun;

/**
 * Finds steps that wait although free workers could take their waiting tasks twice over.
 *
 * <p>The scheduler itself does not depend on the result, which tells operators why a job stands
 * still.
 */
final class StallDetector {
    /** How long a step may wait beside free workers, by the promise to callers. */
    private static final long MAX_WAIT_MS = 3_000;

    private static final long CHECK_INTERVAL_MS = 500;

    /** How often one step is checked, and how many are at a time, as each looks at all workers. */
    private static final long STEP_CHECK_INTERVAL_MS = 1_000;

    private static final int MAX_CHECKED_STEPS = 20;

    /** How long a stall with the same cause is not reported again. */
    private static final long REPEAT_MS = 10_000;

    private static final int MAX_AWAITED_RUNS = 3;

    /** Bounds the tasks that are counted on one worker. */
    private static final int MAX_TASKS_PER_WORKER = 1_000;

    /** For how long a step has waited, and what was reported about it. */
    private static final class Wait {
        private final long mSinceMs;
        private long mNextCheckAtMs;
        private String mCause = "";
        private long mReportedAtMs;

        Wait(long sinceMs) {
            mSinceMs = sinceMs;
            mNextCheckAtMs = sinceMs + MAX_WAIT_MS;
        }
    }

    private final ClusterState mState;
    private final Map<StepInstance, Wait> mWaits = new HashMap<>();
    private List<StalledStep> mStalled = new ArrayList<>();
    private long mNextCheckAtMs = Long.MIN_VALUE;

    StallDetector(ClusterState state) {
        mState = state;
    }

    /** Returns the stalls to report since the last call. */
    List<StalledStep> takeStalledSteps() {
        List<StalledStep> stalled = mStalled;
        mStalled = new ArrayList<>();
        return stalled;
    }

    /** Looks for stalled steps if the last check was some time ago; called after each round. */
    void check(long nowMs) {
        if (nowMs < mNextCheckAtMs) {
            return;
        }
        mNextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
        Set<StepInstance> waiting = new HashSet<>();
        int checked = 0;
        for (Job job : mState.activeJobs.values()) {
            for (List<StepInstance> steps : job.occurrences.values()) {
                for (StepInstance step : steps) {
                    if (!isWaiting(step)) {
                        continue;
                    }
                    waiting.add(step);
                    Wait wait = mWaits.computeIfAbsent(step, s -> new Wait(nowMs));
                    if (nowMs >= wait.mNextCheckAtMs && checked < MAX_CHECKED_STEPS) {
                        wait.mNextCheckAtMs = nowMs + STEP_CHECK_INTERVAL_MS;
                        checked++;
                        check(step, wait, nowMs);
                    }
                }
            }
        }
        mWaits.keySet().retainAll(waiting);
    }

    private void check(StepInstance step, Wait wait, long nowMs) {
        int waitingTasks = 0;
        for (Task task : step.tasks) {
            waitingTasks += isWaiting(task) ? 1 : 0;
        }
        Map<PlacementBarrier, Integer> workers = new EnumMap<>(PlacementBarrier.class);
        int room = 0;
        for (Worker worker : mState.workers.values()) {
            if (worker.entry == null || !worker.entry.service().equals(step.job.queue.service())) {
                continue;
            }
            PlacementBarrier barrier = PlacementBarrier.of(step, worker, nowMs);
            workers.merge(barrier, 1, Integer::sum);
            if (barrier.compareTo(PlacementBarrier.NO_ROOM) > 0) {
                room +=
                        Placement.countFitting(
                                step, worker, worker.freeResources(), MAX_TASKS_PER_WORKER);
            }
        }
        if (!workers.isEmpty() && room < 2 * waitingTasks) {
            return;
        }
        List<AwaitedRun> awaited = awaitedRuns(step, nowMs);
        String cause = causeOf(step, workers, awaited);
        if (cause.equals(wait.mCause) && nowMs - wait.mReportedAtMs < REPEAT_MS) {
            return;
        }
        wait.mCause = cause;
        wait.mReportedAtMs = nowMs;
        mStalled.add(
                new StalledStep(
                        step.job.id,
                        step.occurrence,
                        step.index,
                        cause,
                        nowMs - wait.mSinceMs,
                        waitingTasks,
                        room,
                        workers,
                        awaited));
    }

    /** Returns the reason that holds for most of the workers with room. */
    private static String causeOf(
            StepInstance step, Map<PlacementBarrier, Integer> workers, List<AwaitedRun> awaited) {
        if (workers.isEmpty()) {
            return StalledStep.NO_WORKERS;
        }
        if (!step.hasStartableTasks() && !awaited.isEmpty()) {
            return StalledStep.RUNS_NOT_OVER;
        }
        PlacementBarrier cause = PlacementBarrier.SPLIT;
        for (Map.Entry<PlacementBarrier, Integer> entry : workers.entrySet()) {
            if (entry.getKey().compareTo(PlacementBarrier.NO_ROOM) > 0
                    && entry.getValue() > workers.getOrDefault(cause, 0)) {
                cause = entry.getKey();
            }
        }
        return cause.name();
    }

    private static List<AwaitedRun> awaitedRuns(StepInstance step, long nowMs) {
        List<AwaitedRun> runs = new ArrayList<>();
        for (Task task : step.tasks) {
            if (task.run != null && isWaiting(task) && runs.size() < MAX_AWAITED_RUNS) {
                Run run = task.run;
                long sinceMs = Math.max(run.firstStartSentAtMs, run.restoredAtMs);
                runs.add(new AwaitedRun(run.ref, run.phase.name(), run.worker.id, nowMs - sinceMs));
            }
        }
        return runs;
    }

    /**
     * Returns whether a step could start as far as its job is concerned and some task of it does
     * not run. A long-running step waits for each of its tasks, another one only if none runs.
     */
    private static boolean isWaiting(StepInstance step) {
        if (!step.job.isReady(step)) {
            return false;
        }
        boolean waiting = false;
        for (Task task : step.tasks) {
            if (isWaiting(task)) {
                waiting = true;
            } else if (!task.done && !step.plan.longRunning()) {
                return false;
            }
        }
        return waiting;
    }

    /** Returns whether a task has neither ended nor a run that is expected to be at work. */
    private static boolean isWaiting(Task task) {
        return !task.done
                && (task.run == null
                        || task.run.phase != Phase.RUNNING
                        || task.run.worker.unresponsive);
    }
}
