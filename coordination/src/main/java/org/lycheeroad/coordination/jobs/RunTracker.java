package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.Worker.UnsavedEnd;
import org.lycheeroad.state.work.RunEnd;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.Ended;
import org.lycheeroad.state.work.WorkerRuns.Running;

/** Follows runs from what workers answer and list. */
final class RunTracker {
    /** How long a start without an answer is repeated; well below the usual gang wait of 3 s. */
    private static final long START_RETRY_WINDOW_MS = 1_500;

    /** How long a stop waits for its effect before it is repeated; stops take some 200-400 ms. */
    private static final long STOP_RETRY_MS = 700;

    /** How long a worker that fails several jobs gets no work at first. */
    private static final long FIRST_QUARANTINE_MS = 3_000;

    private static final long MAX_QUARANTINE_MS = 24_000;

    /** How many steps in a row must fail on a worker before it is blamed. */
    private static final int QUARANTINE_FAILED_STEPS = 2;

    /** How long a worker that refused a start gets no further ones at first. */
    private static final long FIRST_REFUSAL_BACKOFF_MS = 500;

    private static final long MAX_REFUSAL_BACKOFF_MS = 8_000;

    /** Enough doublings to reach the longest pause. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /** How long a task may make no progress at least. */
    private static final long MIN_STALL_MS = 3_500;

    /** The share of a task's expected time in which it must make some progress. */
    private static final double STALL_FRACTION = 0.25;

    /** Workers derive the percentage from the estimate; a longer task stays near its end. */
    private static final int ESTIMATE_REACHED_PERCENT = 95;

    private final ClusterState mState;
    private final SchedulerSettings mSettings;
    private final BestEffortThrottle mThrottle;

    RunTracker(ClusterState cluster, SchedulerSettings settings) {
        mState = cluster;
        mSettings = settings;
        mThrottle = new BestEffortThrottle(cluster);
    }

    /** Applies a worker's list; {@code askedAt} is when the list was asked for. */
    void onRunReport(Worker worker, WorkerRuns report, long requestedAtMs, long nowMs) {
        if (report.bornMs() < worker.incarnation) {
            return;
        }
        if (report.bornMs() > worker.incarnation) {
            onNewIncarnation(worker, report, nowMs);
        }
        worker.hasAnswered = true;
        worker.unresponsive = false;
        for (Ended end : report.ended()) {
            if (end.number() > worker.newestEndNumber) {
                worker.newestEndNumber = end.number();
                onEndReported(worker, end, nowMs);
            }
        }
        Set<RunRef> present = new HashSet<>();
        worker.unrecordedRuns.clear();
        for (Running running : report.running()) {
            present.add(running.run());
            onRunningReported(worker, running, nowMs);
        }
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (!present.contains(run.ref) && isOverIfAbsent(run, requestedAtMs)) {
                onLost(run, nowMs);
            }
        }
        mThrottle.onReport(worker, nowMs);
    }

    /** A new incarnation holds nothing of the one before, but may have been sent starts already. */
    private void onNewIncarnation(Worker worker, WorkerRuns report, long nowMs) {
        worker.incarnation = report.bornMs();
        worker.newestEndNumber = 0;
        worker.acknowledgedEnd = 0;
        worker.unsavedEnds.clear();
        worker.unrecordedRuns.clear();
        Set<RunRef> listed = new HashSet<>();
        report.running().forEach(running -> listed.add(running.run()));
        report.ended().forEach(end -> listed.add(end.run()));
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (listed.contains(run.ref)) {
                run.workerIncarnation = report.bornMs();
                mState.markUnsaved(run.task.step.job);
            } else if (run.phase == Phase.STARTING) {
                mState.stopRun(run, StopReason.NO_ANSWER, nowMs);
                stopGangOf(run, nowMs);
            } else if (run.phase == Phase.STOPPING && run.startedAtMs == Long.MAX_VALUE) {
                // What bars a late start has to be confirmed anew.
                run.confirmedAtMs = Long.MAX_VALUE;
            } else {
                onLost(run, nowMs);
            }
        }
    }

    /** Treats all runs of a worker as over. */
    void onLeaseExpired(Worker worker, long nowMs) {
        for (Run run : new ArrayList<>(worker.runs.values())) {
            onLost(run, nowMs);
        }
    }

    void onStartAnswer(Run run, OrderAnswer answer, long nowMs) {
        if (run.phase != Phase.STARTING) {
            run.hasUnansweredStart |= answer == OrderAnswer.UNKNOWN;
            return;
        }
        switch (answer) {
            case ACCEPTED -> {
                run.worker.consecutiveRefusals = 0;
                run.phase = Phase.RUNNING;
                run.confirmedAtMs = nowMs;
                run.startedAtMs = nowMs;
                run.runningSinceMs = nowMs;
                run.lastProgressAtMs = nowMs;
            }
            case UNKNOWN -> {
                run.hasUnansweredStart = true;
                if (nowMs - run.firstStartSentAtMs < START_RETRY_WINDOW_MS) {
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
                backOff(run.worker, nowMs);
                onStartRefused(run, nowMs);
            }
        }
    }

    /** Ends a run whose start was refused. */
    private void onStartRefused(Run run, long nowMs) {
        if (run.hasUnansweredStart) {
            // An earlier copy of the start may still arrive.
            mState.stopRun(run, StopReason.REFUSED, nowMs);
        } else {
            mState.removeRun(run);
        }
        stopGangOf(run, nowMs);
    }

    /** Sends a worker that refuses starts nothing for a time that grows with each refusal. */
    private static void backOff(Worker worker, long nowMs) {
        long pause =
                Math.min(
                        MAX_REFUSAL_BACKOFF_MS,
                        FIRST_REFUSAL_BACKOFF_MS << worker.consecutiveRefusals);
        worker.consecutiveRefusals =
                Math.min(worker.consecutiveRefusals + 1, MAX_BACKOFF_DOUBLINGS);
        worker.quarantinedUntilMs = Math.max(worker.quarantinedUntilMs, nowMs + pause);
    }

    void onStopAnswer(Run run, OrderAnswer answer, long nowMs) {
        if (run.phase == Phase.STOPPING && answer == OrderAnswer.ACCEPTED) {
            run.confirmedAtMs = Math.min(run.confirmedAtMs, nowMs);
        }
        if (answer == OrderAnswer.REPLACED) {
            onLost(run, nowMs);
        }
    }

    /** Repeats stops without effect and stops what stands still. */
    void onTick(long nowMs) {
        for (Worker worker : mState.workers.values()) {
            for (Run run : new ArrayList<>(worker.runs.values())) {
                if (run.phase == Phase.STOPPING && nowMs - run.lastStopSentAtMs > STOP_RETRY_MS) {
                    mState.sendStop(run, nowMs);
                } else if (run.phase == Phase.RUNNING
                        && !worker.unresponsive
                        && isStalled(run, nowMs)) {
                    run.task.failedWorkers.add(worker.id);
                    recordWorkerFailure(worker, run.task.step, nowMs);
                    mState.stopRun(run, StopReason.STALLED, nowMs);
                    stopGangOf(run, nowMs);
                }
            }
        }
    }

    private boolean isStalled(Run run, long nowMs) {
        StepInstance step = run.task.step;
        if (step.plan.longRunning()
                || step.plan.fills()
                || run.progressPercent >= ESTIMATE_REACHED_PERCENT) {
            return false;
        }
        long expected = mState.durationEstimator.expectedMs(step.job.record.queue(), step.plan);
        return nowMs - run.lastProgressAtMs
                > Math.max(MIN_STALL_MS, Math.round(expected * STALL_FRACTION));
    }

    private void onRunningReported(Worker worker, Running running, long nowMs) {
        Run run = worker.runs.get(running.run());
        if (run == null) {
            worker.unrecordedRuns.add(running.run());
            mState.stopUnrecordedRun(worker, running.run());
            return;
        }
        run.task.step.recordCheckpoint(run.task, running.checkpoint());
        if (run.phase == Phase.STARTING || run.phase == Phase.UNCONFIRMED) {
            run.phase = Phase.RUNNING;
            run.confirmedAtMs = nowMs;
            run.startedAtMs = nowMs;
            run.runningSinceMs = nowMs;
            run.lastProgressAtMs = nowMs;
            run.progressPercent = running.percent();
        }
        run.reportedUsage = running.usage();
        if (running.percent() > run.progressPercent) {
            run.progressPercent = running.percent();
            run.lastProgressAtMs = nowMs;
        }
    }

    private void onEndReported(Worker worker, Ended end, long nowMs) {
        Run run = worker.runs.get(end.run());
        Job job = mState.activeJobs.get(end.run().task().job());
        if (run != null) {
            run.task.step.recordCheckpoint(run.task, end.checkpoint());
            applyEnd(run, end.how(), nowMs);
        } else if (job != null && end.how() == RunEnd.DONE) {
            onLateSuccess(job, end, nowMs);
        }
        // The end of a run whose job has ended waits until the job's end is saved.
        Job owner = mState.findJob(end.run().task().job());
        long version = owner == null ? 0 : owner.version;
        worker.unsavedEnds.add(new UnsavedEnd(end.number(), end.run().task().job(), version));
    }

    /** Counts a success whose run was given up, unless a newer run has been recorded. */
    private void onLateSuccess(Job job, Ended end, long nowMs) {
        Task task = findTask(job, end.run());
        if (task != null
                && !task.done
                && task.run == null
                && task.attempt == end.run().attempt()
                && !task.step.plan.gang()) {
            task.done = true;
            mState.markUnsaved(job);
            completeJobIfDone(job, nowMs);
        }
    }

    private void applyEnd(Run run, RunEnd how, long nowMs) {
        StepInstance step = run.task.step;
        Job job = step.job;
        boolean current = run.isCurrent() && mState.activeJobs.containsKey(job.id);
        if (how == RunEnd.DONE && current && !step.plan.longRunning()) {
            onSuccess(run, nowMs);
        } else if (how == RunEnd.FAILED && current) {
            onFailure(run, nowMs);
        }
        mState.removeRun(run);
        if (how != RunEnd.DONE) {
            stopGangOf(run, nowMs);
        }
        completeJobIfDone(job, nowMs);
    }

    private void onSuccess(Run run, long nowMs) {
        StepInstance step = run.task.step;
        run.worker.failedSteps.clear();
        run.worker.quarantineMs = 0;
        if (run.runningSinceMs > 0 && run.task.attempt == 1 && !run.remote) {
            mState.durationEstimator.recordDuration(
                    step.job.record.queue(), step.plan, nowMs - run.runningSinceMs);
        }
        run.task.done = true;
        if (step.plan.gang()) {
            // One member's success is the success of all.
            for (Task member : step.tasks) {
                member.done = true;
            }
        }
        mState.markUnsaved(step.job);
    }

    private void onFailure(Run run, long nowMs) {
        StepInstance step = run.task.step;
        run.task.failedWorkers.add(run.worker.id);
        recordWorkerFailure(run.worker, step, nowMs);
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
        mState.markUnsaved(step.job);
        if (!step.plan.longRunning() && failures >= step.job.queue.maxAttempts()) {
            mState.endJob(step.job, WorkState.FAILED, nowMs);
        }
    }

    private void onLost(Run run, long nowMs) {
        mState.removeRun(run);
        stopGangOf(run, nowMs);
    }

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

    private static void recordWorkerFailure(Worker worker, StepInstance step, long nowMs) {
        worker.failedSteps.add(step);
        if (worker.failedSteps.size() >= QUARANTINE_FAILED_STEPS) {
            worker.quarantineMs =
                    Math.min(
                            MAX_QUARANTINE_MS,
                            Math.max(FIRST_QUARANTINE_MS, worker.quarantineMs * 2));
            worker.quarantinedUntilMs = nowMs + worker.quarantineMs;
        }
    }

    private boolean isOverIfAbsent(Run run, long requestedAtMs) {
        boolean startLapsed = requestedAtMs > run.lastStartSentAtMs + mSettings.orderExpiryMs();
        return switch (run.phase) {
            case RECORDING -> false;
            case STARTING -> startLapsed;
            case RUNNING -> requestedAtMs >= run.confirmedAtMs;
            // A run that had begun cannot begin again, whether its stop is confirmed or not.
            case STOPPING -> requestedAtMs >= Math.min(run.confirmedAtMs, run.startedAtMs) || startLapsed;
            // The owner's first look bars orders of earlier owners.
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
