package org.lycheeroad.coordination.jobs;

import java.util.HashSet;
import java.util.Set;
import org.lycheeroad.state.id.WorkerId;

/** Keeps new runs off workers that fail runs or refuse starts. */
final class WorkerQuarantine {
    /** The first quarantine of a worker on which several steps failed; it doubles each time. */
    private static final long FIRST_QUARANTINE_MS = 3_000;

    private static final long MAX_QUARANTINE_MS = 24_000;

    /**
     * The number of steps that must fail on a worker, without a success between, for a quarantine.
     */
    private static final int QUARANTINE_FAILED_STEPS = 2;

    /** A run that fails within this time, or this fraction of its duration, failed at once. */
    private static final long MIN_AT_ONCE_MS = 500;

    private static final double AT_ONCE_FRACTION = 0.1;

    /**
     * The fraction of the workers that may be in quarantine for a single failure to add another; a
     * job that fails everywhere must not take all workers away.
     */
    private static final double MAX_SUSPECT_FRACTION = 0.15;

    /**
     * The largest fraction of a service's workers in quarantine, however much fails on them. Faults
     * of workers affect at most a sixth of them at a time, so the rest are sound.
     */
    private static final double MAX_QUARANTINED_FRACTION = 1.0 / 3;

    /** How long no starts are sent after a refused one; it doubles with each further refusal. */
    private static final long FIRST_REFUSAL_BACKOFF_MS = 500;

    /** A worker that is healthy again must get a start within 3 s if no other has room. */
    private static final long MAX_REFUSAL_BACKOFF_MS = 2_500;

    /** The number of doublings after which the longest backoff is reached. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private final ClusterState mState;

    WorkerQuarantine(ClusterState state) {
        mState = state;
    }

    /** Records a success, which shows that the worker is sound. */
    void onSuccess(Run run, long nowMs) {
        run.worker.failedSteps.clear();
        run.worker.quarantineMs = 0;
        run.worker.onProbation = false;
        run.worker.lastSuccessAtMs = nowMs;
    }

    /**
     * Handles a report of a worker. A lasting task at work shows that the worker is sound, as a
     * success of other tasks does, if it started after the worker's last failure. A run that has
     * not failed at once ends the probation.
     */
    void onReport(Worker worker, long nowMs) {
        for (Run run : worker.runs.values()) {
            if (run.phase == Run.Phase.RUNNING
                    && worker.isProbe(run)
                    && nowMs - run.runningSinceMs >= atOnceMs(run)) {
                worker.onProbation = false;
            }
            if (isLastingAtWork(run)
                    && run.phase == Run.Phase.RUNNING
                    && run.firstStartSentAtMs > worker.lastFailureAtMs) {
                worker.failedSteps.clear();
                worker.quarantineMs = 0;
            }
        }
    }

    private static boolean isLastingAtWork(Run run) {
        return run.task.step.plan.longRunning() && run.progress.isComplete();
    }

    /** Records a failed run, after it has been counted as a failure of its step. */
    void onFailure(Run run, boolean firstOfStep, long nowMs) {
        if (isLastingAtWork(run)) {
            // Such tasks may fail at any time by themselves.
            return;
        }
        if (isAtFault(run.task.step)) {
            takeBack(run.task.step, nowMs);
            return;
        }
        run.worker.lastFailureAtMs = nowMs;
        onStall(run, nowMs);
        if (firstOfStep && failedAtOnce(run, nowMs) && canQuarantineOnSuspicion(nowMs)) {
            quarantine(run, nowMs);
        }
    }

    /**
     * Returns whether a step rather than its workers is the cause of its failures, and none of its
     * tasks has succeeded: a gang has used up its attempts, or most tasks that failed did so on two
     * workers, or most tasks failed. A wide step often meets a failing worker, even twice.
     */
    private static boolean isAtFault(StepInstance step) {
        Set<WorkerId> failedWorkers = new HashSet<>();
        int failedTasks = 0;
        int failedOnTwo = 0;
        for (Task task : step.tasks) {
            if (task.done) {
                return false;
            }
            failedWorkers.addAll(task.failedWorkers);
            failedTasks += task.failedWorkers.isEmpty() ? 0 : 1;
            failedOnTwo += task.failedWorkers.size() > 1 ? 1 : 0;
        }
        if (failedWorkers.size() < 2) {
            return false;
        }
        return step.plan.gang()
                ? step.gangFailures >= step.job.queue.maxAttempts()
                : failedOnTwo * 2 > failedTasks || failedWorkers.size() * 2 > step.tasks.size();
    }

    /** Ends the quarantines for which the failures of a step were needed. */
    private void takeBack(StepInstance step, long nowMs) {
        for (Worker worker : mState.workers.values()) {
            if (worker.failedSteps.remove(step)
                    && worker.failedSteps.size() < QUARANTINE_FAILED_STEPS) {
                worker.quarantinedUntilMs = Math.min(worker.quarantinedUntilMs, nowMs);
                worker.quarantineMs = 0;
                worker.onProbation = false;
            }
        }
    }

    /** Records a failed or stalled run, and quarantines the worker after several failed steps. */
    void onStall(Run run, long nowMs) {
        run.worker.failedSteps.add(run.task.step);
        if (run.worker.failedSteps.size() >= QUARANTINE_FAILED_STEPS) {
            quarantine(run, nowMs);
        }
    }

    void onStartAccepted(Worker worker) {
        worker.consecutiveRefusals = 0;
    }

    /**
     * Stops assigning runs to a worker that refused a start, with exponential backoff. Starts that
     * were sent before the last refusal, and answers that do not depend on the worker's state, do
     * not lengthen it.
     */
    void onStartRefused(Run run, OrderAnswer answer, long nowMs) {
        Worker worker = run.worker;
        if (run.lastStartSentAtMs <= worker.lastRefusalAtMs) {
            return;
        }
        worker.lastRefusalAtMs = nowMs;
        long backoffMs = FIRST_REFUSAL_BACKOFF_MS;
        if (dependsOnWorker(answer)) {
            backoffMs =
                    Math.min(
                            MAX_REFUSAL_BACKOFF_MS,
                            FIRST_REFUSAL_BACKOFF_MS << worker.consecutiveRefusals);
            worker.consecutiveRefusals =
                    Math.min(worker.consecutiveRefusals + 1, MAX_BACKOFF_DOUBLINGS);
        }
        worker.noRunsUntilMs = Math.max(worker.noRunsUntilMs, nowMs + backoffMs);
    }

    /** Returns whether a worker refused a start because of its state. */
    private static boolean dependsOnWorker(OrderAnswer answer) {
        return switch (answer) {
            case UNHEALTHY, NO_ROOM, REPLACED, MALFORMED -> true;
            // EXPIRED is also the answer to a start that was not sent.
            case ACCEPTED, FENCED, OUTDATED, EXPIRED, BAD_TICKET, UNKNOWN -> false;
        };
    }

    /**
     * Bars a run's worker for a while. A run that started before the last quarantine says nothing
     * about the worker's state since then, so it does not lengthen the quarantine.
     */
    private void quarantine(Run run, long nowMs) {
        Worker worker = run.worker;
        boolean startedBefore =
                worker.quarantineMs > 0 && run.firstStartSentAtMs <= worker.quarantinedSinceMs;
        if (startedBefore || !mayAdd(worker, nowMs)) {
            return;
        }
        worker.quarantinedSinceMs = nowMs;
        worker.onProbation = worker.quarantineMs > 0;
        worker.quarantineMs =
                Math.min(MAX_QUARANTINE_MS, Math.max(FIRST_QUARANTINE_MS, worker.quarantineMs * 2));
        worker.quarantinedUntilMs = nowMs + worker.quarantineMs;
    }

    /** Returns whether few enough workers of the same service are in quarantine to add one. */
    private boolean mayAdd(Worker worker, long nowMs) {
        if (worker.entry == null) {
            return true;
        }
        int workers = 0;
        int quarantined = 0;
        for (Worker other : mState.workers.values()) {
            if (other.entry != null
                    && other.registered
                    && other.entry.service().equals(worker.entry.service())) {
                workers++;
                quarantined += other != worker && nowMs < other.quarantinedUntilMs ? 1 : 0;
            }
        }
        return quarantined == 0 || quarantined + 1 <= workers * MAX_QUARANTINED_FRACTION;
    }

    /** Returns whether a run failed so soon that rather the worker than the job is the cause. */
    private boolean failedAtOnce(Run run, long nowMs) {
        if (run.task.step.plan.longRunning()) {
            return false;
        }
        long elapsedMs = run.runningSinceMs > 0 ? nowMs - run.runningSinceMs : 0;
        return elapsedMs < atOnceMs(run);
    }

    private long atOnceMs(Run run) {
        long expectedMs = run.task.step.expectedMs(mState.durationEstimator);
        return Math.max(MIN_AT_ONCE_MS, Math.round(expectedMs * AT_ONCE_FRACTION));
    }

    /** Returns whether few enough workers are in quarantine to add one on a single failure. */
    private boolean canQuarantineOnSuspicion(long nowMs) {
        int quarantined = 0;
        for (Worker worker : mState.workers.values()) {
            quarantined += nowMs < worker.quarantinedUntilMs ? 1 : 0;
        }
        return quarantined + 1 <= mState.workers.size() * MAX_SUSPECT_FRACTION;
    }
}
