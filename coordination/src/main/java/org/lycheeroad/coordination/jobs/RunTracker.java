package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.Worker.UnsavedEnd;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;

/** Tracks runs by the answers and reports of workers. */
final class RunTracker {
    /** How long an unanswered start is repeated; well below the usual gang timeout of 3 s. */
    private static final long START_RETRY_WINDOW_MS = 1_500;

    /** The time after which a stop without effect is repeated; stops take about 200-400 ms. */
    private static final long STOP_RETRY_MS = 700;

    /** The longest time after which a call without an answer can still be carried out. */
    static final long MAX_CALL_DELAY_MS = 15_000;

    /**
     * The observed runs on other workers that a run is compared with to learn its worker's speed.
     */
    private static final int MIN_SPEED_REFERENCES = 2;

    /** The shortest time without progress after which a run counts as stalled. */
    private static final long MIN_STALL_MS = 3_500;

    /** The time without progress for a stall, as a fraction of the expected duration. */
    private static final double STALL_FRACTION = 0.25;

    /**
     * The progress from which a run is not checked for stalls. Workers derive the percentage from
     * the estimate, so it hardly changes any more once a task takes longer than estimated.
     */
    private static final int ESTIMATE_REACHED_PERCENT = 95;

    private final ClusterState mState;
    private final SchedulerSettings mSettings;
    private final WorkerQuarantine mQuarantine;
    private final SlowWorkerDetector mSlowWorkerDetector;
    private final BestEffortThrottle mThrottle;

    RunTracker(ClusterState state, SchedulerSettings settings, WorkerQuarantine quarantine) {
        mState = state;
        mSettings = settings;
        mQuarantine = quarantine;
        mSlowWorkerDetector = new SlowWorkerDetector(state);
        mThrottle = new BestEffortThrottle(state);
    }

    /** Applies a worker's run report, which was requested at {@code requestedAtMs}. */
    void onRunReport(Worker worker, WorkerRuns report, long requestedAtMs, long nowMs) {
        if (report.incarnationStartMs() < worker.incarnation
                && requestedAtMs <= worker.incarnationKnownAtMs) {
            return;
        }
        if (report.incarnationStartMs() != worker.incarnation) {
            onNewIncarnation(worker, report, requestedAtMs, nowMs);
        }
        worker.hasAnswered = true;
        worker.unresponsive = false;
        for (EndedRun end : report.endedRuns()) {
            if (end.sequence() > worker.newestEndNumber) {
                worker.newestEndNumber = end.sequence();
                onEndReported(worker, end, nowMs);
            }
        }
        Set<RunRef> reported = new HashSet<>();
        worker.unrecordedRuns.clear();
        for (ActiveRun running : report.activeRuns()) {
            reported.add(running.run());
            onRunningReported(worker, running, nowMs);
        }
        if (report.listsAllEndedRuns()) {
            for (Run run : new ArrayList<>(worker.runs.values())) {
                if (!reported.contains(run.ref) && isOverIfAbsent(run, requestedAtMs)) {
                    onLost(run, DroppedRun.Cause.NOT_REPORTED, nowMs);
                }
            }
        }
        mQuarantine.onReport(worker, nowMs);
        mSlowWorkerDetector.onReport(worker, nowMs);
        mThrottle.onReport(worker, nowMs);
    }

    /**
     * Handles the first report of a new incarnation. It has none of the runs of the incarnation
     * before, but may already have received starts that were sent to that one.
     */
    private void onNewIncarnation(
            Worker worker, WorkerRuns report, long requestedAtMs, long nowMs) {
        worker.incarnation = report.incarnationStartMs();
        worker.incarnationKnownAtMs = nowMs;
        worker.newestEndNumber = 0;
        worker.acknowledgedEnd = 0;
        worker.unsavedEnds.clear();
        worker.unrecordedRuns.clear();
        Set<RunRef> reported = new HashSet<>();
        report.activeRuns().forEach(running -> reported.add(running.run()));
        report.endedRuns().forEach(end -> reported.add(end.run()));
        forgetStartsThatCannotArrive(worker, nowMs);
        worker.endedUnansweredStarts.keySet().removeAll(reported);
        for (RunRef ended : worker.endedUnansweredStarts.keySet()) {
            mState.stopUnrecordedRun(worker, ended);
        }
        long lastCallAtMs = worker.lastUnansweredCallAtMs;
        for (Run run : worker.runs.values()) {
            if (mayStillStart(run)) {
                lastCallAtMs = Math.max(lastCallAtMs, run.lastStartSentAtMs);
            }
        }
        worker.earlierCallsUntilMs = lastCallAtMs + MAX_CALL_DELAY_MS;
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (reported.contains(run.ref)) {
                run.workerIncarnation = report.incarnationStartMs();
                mState.markUnsaved(run.task.step.job);
            } else if (mayStillStart(run)) {
                // The new incarnation must confirm the stop before it refuses a late start.
                run.startedAtMs = Long.MAX_VALUE;
                run.confirmedAtMs = Long.MAX_VALUE;
                if (run.phase == Phase.STOPPING) {
                    mState.sendStop(run, nowMs);
                } else {
                    mState.stopRun(run, StopReason.NO_ANSWER, nowMs);
                    stopGangOf(run, nowMs);
                }
            } else if (report.listsAllEndedRuns() && !startedAfter(run, requestedAtMs)) {
                onLost(run, DroppedRun.Cause.WORKER_RESTARTED, nowMs);
            }
        }
    }

    /** Returns whether a start was confirmed after a time, so that a report of then may lack it. */
    private static boolean startedAfter(Run run, long timeMs) {
        return run.phase == Phase.RUNNING && run.confirmedAtMs > timeMs;
    }

    private static void forgetStartsThatCannotArrive(Worker worker, long nowMs) {
        worker.endedUnansweredStarts
                .values()
                .removeIf(sentAtMs -> nowMs - sentAtMs > MAX_CALL_DELAY_MS);
    }

    /** Returns whether a start order that was sent to an earlier incarnation may still arrive. */
    private static boolean mayStillStart(Run run) {
        return switch (run.phase) {
            case STARTING -> true;
            case STOPPING -> run.hasUnansweredStart || run.startedAtMs == Long.MAX_VALUE;
            case RUNNING -> run.hasUnansweredStart;
            // A new incarnation that has answered this owner rejects orders of earlier owners.
            case RECORDING, UNCONFIRMED -> false;
        };
    }

    /** Removes the runs of a worker, whose leases have expired unless it has restarted. */
    void onLeaseExpired(Worker worker, long nowMs) {
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (nowMs > earlierLeasesUntilMs(run)) {
                onLost(run, DroppedRun.Cause.LEASE_EXPIRED, nowMs);
            }
        }
    }

    boolean mayRunByCallsInTransit(Worker worker, long nowMs) {
        return worker.runs.values().stream()
                .anyMatch(run -> mayStillStart(run) || nowMs <= earlierLeasesUntilMs(run));
    }

    /** Removes the runs of a worker at whose address another process answers. */
    void onWorkerReplaced(Worker worker, long nowMs) {
        for (Run run : new ArrayList<>(worker.runs.values())) {
            onLost(run, DroppedRun.Cause.WORKER_REPLACED, nowMs);
        }
    }

    /**
     * Returns the time until which a new incarnation of a silent worker may run a run by calls to
     * an earlier one. Such a call extends leases from its arrival, as the time that it carries is
     * on another clock.
     */
    private long earlierLeasesUntilMs(Run run) {
        Worker worker = run.worker;
        boolean hasSilentIncarnation =
                worker.entry != null
                        && worker.entry.incarnationStartMs() > run.workerIncarnation
                        && (worker.entry.incarnationStartMs() > worker.incarnation
                                || !worker.hasAnswered);
        long callsUntilMs = worker.earlierCallsUntilMs;
        if (hasSilentIncarnation) {
            if (!mayStillStart(run) && run.phase != Phase.UNCONFIRMED) {
                return Long.MIN_VALUE;
            }
            long lastStartAtMs = Math.max(run.restoredAtMs, run.lastStartSentAtMs);
            callsUntilMs =
                    Math.max(lastStartAtMs, worker.lastUnansweredCallAtMs) + MAX_CALL_DELAY_MS;
        }
        return callsUntilMs + mSettings.orderExpiryMs();
    }

    void onStartAnswer(Run run, OrderAnswer answer, long nowMs) {
        if (run.phase != Phase.STARTING) {
            run.hasUnansweredStart |= answer == OrderAnswer.UNKNOWN;
            return;
        }
        switch (answer) {
            case ACCEPTED -> {
                mQuarantine.onStartAccepted(run.worker);
                run.phase = Phase.RUNNING;
                run.confirmedAtMs = nowMs;
                run.startedAtMs = nowMs;
                run.runningSinceMs = nowMs;
                if (!run.resumed) {
                    run.progress.start(0, nowMs);
                }
            }
            case UNKNOWN -> {
                run.hasUnansweredStart = true;
                if (nowMs - run.firstStartSentAtMs < START_RETRY_WINDOW_MS
                        && !run.worker.evacuated) {
                    mState.sendStart(run, nowMs);
                } else {
                    mState.stopRun(run, StopReason.NO_ANSWER, nowMs);
                    stopGangOf(run, nowMs);
                }
            }
            case BAD_TICKET -> {
                run.task.step.policyDecisions.dropTicket(run.worker.id);
                onStartRefused(run, nowMs);
            }
            default -> {
                mQuarantine.onStartRefused(run, answer, nowMs);
                onStartRefused(run, nowMs);
            }
        }
    }

    /** Removes a run whose start was refused, or stops it if the start may still arrive. */
    private void onStartRefused(Run run, long nowMs) {
        if (run.hasUnansweredStart) {
            // An earlier start order was not answered and may still arrive.
            mState.stopRun(run, StopReason.REFUSED, nowMs);
        } else {
            mState.removeRun(run);
        }
        stopGangOf(run, nowMs);
    }

    void onStopAnswer(Run run, OrderAnswer answer, long nowMs) {
        if (run.phase == Phase.STOPPING && answer == OrderAnswer.ACCEPTED) {
            run.confirmedAtMs = Math.min(run.confirmedAtMs, nowMs);
        }
        if (answer == OrderAnswer.REPLACED) {
            onLost(run, DroppedRun.Cause.WORKER_REPLACED, nowMs);
        }
    }

    /** Repeats stops without effect and stops stalled runs. */
    void onTick(long nowMs) {
        for (Worker worker : mState.workers.values()) {
            forgetStartsThatCannotArrive(worker, nowMs);
            for (Run run : new ArrayList<>(worker.runs.values())) {
                if (run.phase == Phase.STOPPING && nowMs - run.lastStopSentAtMs > STOP_RETRY_MS) {
                    mState.sendStop(run, nowMs);
                } else if (run.phase == Phase.RUNNING && !worker.unresponsive && isStalled(run)) {
                    run.task.failedWorkers.add(worker.id);
                    mQuarantine.onStall(run, nowMs);
                    mState.stopRun(run, StopReason.STALLED, nowMs);
                    stopGangOf(run, nowMs);
                }
            }
        }
    }

    /**
     * Returns whether a run had made no progress for too long when it was last reported. The time
     * since then does not count, as an owner that cannot renew its lease receives no reports.
     */
    private boolean isStalled(Run run) {
        StepInstance step = run.task.step;
        if (step.plan.longRunning()
                || step.plan.fills()
                || run.progress.percent() >= ESTIMATE_REACHED_PERCENT) {
            return false;
        }
        long expectedMs = step.expectedMs(mState.durationEstimator);
        return run.progress.reportedAtMs()
                        - Math.max(run.runningSinceMs, run.progress.advancedAtMs())
                > Math.max(MIN_STALL_MS, Math.round(expectedMs * STALL_FRACTION));
    }

    private void onRunningReported(Worker worker, ActiveRun running, long nowMs) {
        Run run = worker.runs.get(running.run());
        if (run == null) {
            worker.unrecordedRuns.add(running.run());
            mState.stopUnrecordedRun(worker, running.run());
            return;
        }
        run.task.step.recordCheckpoint(run.task, running.checkpoint());
        boolean wasUnconfirmed = run.phase == Phase.UNCONFIRMED;
        if (run.phase == Phase.STARTING || wasUnconfirmed) {
            run.phase = Phase.RUNNING;
            run.confirmedAtMs = nowMs;
            run.startedAtMs = nowMs;
            run.runningSinceMs = nowMs;
        }
        if (wasUnconfirmed) {
            run.workerIncarnation = worker.incarnation;
            stopIfObsolete(run, nowMs);
        }
        run.reportedUsage = running.usage();
        run.progress.report(running.percent(), nowMs);
        observeDuration(run);
    }

    /**
     * Stops a restored run that an earlier owner had to stop, because its job has ended or its gang
     * was broken. Stops without effect are not recorded.
     */
    private void stopIfObsolete(Run run, long nowMs) {
        StepInstance step = run.task.step;
        if (run.task.done) {
            // The other runs of a gang that is done end by themselves.
            if (!step.plan.gang()) {
                mState.stopRun(run, StopReason.TASK_DONE, nowMs);
            }
            return;
        }
        if (step.job.state.isEnded()) {
            mState.stopRun(run, StopReason.JOB_ENDED, nowMs);
        } else if (step.plan.gang() && !step.isWhole(run.ref.attempt())) {
            mState.stopGang(step, run.ref.attempt(), nowMs);
        }
    }

    /** Adds the duration that a run's progress shows to the observations of its step, once. */
    private static void observeDuration(Run run) {
        if (!run.durationObserved
                && !run.remote
                && !run.worker.slow
                && SlowWorkerDetector.isMeasurable(run)
                && run.progress.canForecast()) {
            run.durationObserved = true;
            ObservedDurations durations = run.task.step.observedDurations;
            long durationMs = Math.max(1, run.progress.fullDurationMs());
            long elsewhereMs = durations.medianElsewhereMs(run.worker.id, MIN_SPEED_REFERENCES);
            if (elsewhereMs > 0) {
                run.worker.speed.add((double) elsewhereMs / durationMs);
            }
            durations.add(run.worker.id, durationMs);
        }
    }

    private void onEndReported(Worker worker, EndedRun end, long nowMs) {
        Run run = worker.runs.get(end.run());
        Job job = mState.activeJobs.get(end.run().task().job());
        if (run != null) {
            run.task.step.recordCheckpoint(run.task, end.checkpoint());
            applyEnd(run, end.outcome(), nowMs);
        } else if (job != null && end.outcome() == RunOutcome.DONE) {
            onLateSuccess(job, end, nowMs);
        }
        // If the job has ended, its end has to be saved before the run's end is acknowledged.
        Job savedJob = mState.findJob(end.run().task().job());
        long version = savedJob == null ? 0 : savedJob.version;
        worker.unsavedEnds.add(new UnsavedEnd(end.sequence(), end.run().task().job(), version));
    }

    /**
     * Counts the success of a run that was already removed. A newer run of the task is stopped, as
     * the task must not start again once the end is acknowledged.
     */
    private void onLateSuccess(Job job, EndedRun end, long nowMs) {
        Task task = findTask(job, end.run());
        if (task != null
                && !task.done
                && task.attempt >= end.run().attempt()
                && !task.step.plan.gang()
                && !task.step.plan.longRunning()) {
            task.done = true;
            if (task.run != null) {
                mState.stopRun(task.run, StopReason.TASK_DONE, nowMs);
            }
            mState.markUnsaved(job);
            completeJobIfDone(job, nowMs);
        }
    }

    private void applyEnd(Run run, RunOutcome how, long nowMs) {
        StepInstance step = run.task.step;
        Job job = step.job;
        boolean isCurrent = run.isCurrent() && mState.activeJobs.containsKey(job.id);
        if (how == RunOutcome.DONE && isCurrent && !step.plan.longRunning()) {
            onSuccess(run, nowMs);
        } else if (how == RunOutcome.FAILED && isCurrent && !run.task.done) {
            onFailure(run, nowMs);
        }
        mState.removeRun(run);
        if (how != RunOutcome.DONE) {
            stopGangOf(run, nowMs);
        }
        completeJobIfDone(job, nowMs);
    }

    private void onSuccess(Run run, long nowMs) {
        StepInstance step = run.task.step;
        mQuarantine.onSuccess(run, nowMs);
        if (run.runningSinceMs > 0 && run.task.attempt == 1 && !run.remote) {
            mState.durationEstimator.recordDuration(
                    step.job.record.queue(), step.plan, nowMs - run.runningSinceMs);
        }
        run.task.done = true;
        if (step.plan.gang()) {
            // The success of one task completes the gang.
            for (Task member : step.tasks) {
                member.done = true;
            }
        }
        mState.markUnsaved(step.job);
    }

    private void onFailure(Run run, long nowMs) {
        StepInstance step = run.task.step;
        boolean isFirstOfStep = step.failureCount() == 0;
        // The members of a gang share their attempts, so none of them may go there again.
        for (Task task : step.plan.gang() ? step.tasks : List.of(run.task)) {
            task.failedWorkers.add(run.worker.id);
        }
        int failures;
        if (step.plan.gang()) {
            if (step.lastFailedGangAttempt < run.ref.attempt()) {
                step.lastFailedGangAttempt = run.ref.attempt();
                step.gangFailures++;
            }
            failures = step.gangFailures;
        } else {
            failures = ++run.task.failures;
        }
        mQuarantine.onFailure(run, isFirstOfStep, nowMs);
        mState.markUnsaved(step.job);
        if (!step.plan.longRunning() && failures >= step.job.queue.maxAttempts()) {
            mState.endJob(step.job, WorkState.FAILED, nowMs);
        }
    }

    /** Removes a run that is gone without a reported end. */
    private void onLost(Run run, DroppedRun.Cause cause, long nowMs) {
        mState.dropRun(run, cause, nowMs);
        stopGangOf(run, nowMs);
    }

    /** Stops the other runs of a run's gang, if it has one, unless the gang is done. */
    private void stopGangOf(Run run, long nowMs) {
        StepInstance step = run.task.step;
        if (step.plan.gang() && !run.task.done) {
            mState.stopGang(step, run.ref.attempt(), nowMs);
        }
    }

    private void completeJobIfDone(Job job, long nowMs) {
        if (mState.activeJobs.containsKey(job.id) && job.isDone()) {
            mState.endJob(job, WorkState.COMPLETED, nowMs);
        }
    }

    /** Returns whether a run has certainly ended if a report requested at a time lacks it. */
    private boolean isOverIfAbsent(Run run, long requestedAtMs) {
        // The expiry time of an order means nothing on the clock of a later incarnation.
        long maxStartDelayMs =
                run.workerIncarnation != run.worker.incarnation
                        ? MAX_CALL_DELAY_MS
                        : mSettings.orderExpiryMs();
        boolean startExpired = requestedAtMs > run.lastStartSentAtMs + maxStartDelayMs;
        return switch (run.phase) {
            case RECORDING -> false;
            case STARTING -> startExpired;
            case RUNNING -> requestedAtMs >= run.confirmedAtMs;
            // An incarnation does not start a run again, whether its stop is confirmed or not.
            case STOPPING ->
                    requestedAtMs >= Math.min(run.confirmedAtMs, run.startedAtMs) || startExpired;
            // After this owner's first poll, the worker rejects orders of earlier owners.
            case UNCONFIRMED -> true;
        };
    }

    private static Task findTask(Job job, RunRef run) {
        List<StepInstance> steps = job.occurrences.get(run.task().occurrence());
        if (steps == null || run.task().step() >= steps.size()) {
            return null;
        }
        List<Task> tasks = steps.get(run.task().step()).tasks;
        return run.task().index() < tasks.size() ? tasks.get(run.task().index()) : null;
    }
}
