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
    void onRunReport(Worker worker, WorkerRuns report, long askedAt, long now) {
        if (report.bornMs() < worker.incarnation) {
            return;
        }
        if (report.bornMs() > worker.incarnation) {
            onNewIncarnation(worker, report, now);
        }
        worker.hasAnswered = true;
        worker.unresponsive = false;
        for (Ended end : report.ended()) {
            if (end.number() > worker.newestEndNumber) {
                worker.newestEndNumber = end.number();
                onEndReported(worker, end, now);
            }
        }
        Set<RunRef> present = new HashSet<>();
        worker.unrecordedRuns.clear();
        for (Running running : report.running()) {
            present.add(running.run());
            onRunningReported(worker, running, now);
        }
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (!present.contains(run.ref) && isOverIfAbsent(run, askedAt)) {
                onLost(run, now);
            }
        }
        mThrottle.onReport(worker, now);
    }

    /** A new incarnation holds nothing of the one before, but may have been sent starts already. */
    private void onNewIncarnation(Worker worker, WorkerRuns report, long now) {
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
                mState.stopRun(run, StopReason.NO_ANSWER, now);
                stopGangOf(run, now);
            } else if (run.phase == Phase.STOPPING && run.startedAtMs == Long.MAX_VALUE) {
                // What bars a late start has to be confirmed anew.
                run.confirmedAtMs = Long.MAX_VALUE;
            } else {
                onLost(run, now);
            }
        }
    }

    /** Treats all runs of a worker as over. */
    void onLeaseExpired(Worker worker, long now) {
        for (Run run : new ArrayList<>(worker.runs.values())) {
            onLost(run, now);
        }
    }

    void onStartAnswer(Run run, OrderAnswer answer, long now) {
        if (run.phase != Phase.STARTING) {
            run.hasUnansweredStart |= answer == OrderAnswer.UNKNOWN;
            return;
        }
        switch (answer) {
            case ACCEPTED -> {
                run.worker.consecutiveRefusals = 0;
                run.phase = Phase.RUNNING;
                run.confirmedAtMs = now;
                run.startedAtMs = now;
                run.runningSinceMs = now;
                run.lastProgressAtMs = now;
            }
            case UNKNOWN -> {
                run.hasUnansweredStart = true;
                if (now - run.firstStartSentAtMs < START_RETRY_WINDOW_MS) {
                    mState.sendStart(run, now);
                } else {
                    mState.stopRun(run, StopReason.NO_ANSWER, now);
                    stopGangOf(run, now);
                }
            }
            case BAD_TICKET -> {
                run.task.step.policyDecisions.dropTicket(run.worker.id);
                onStartRefused(run, now);
            }
            default -> {
                backOff(run.worker, now);
                onStartRefused(run, now);
            }
        }
    }

    /** Ends a run whose start was refused. */
    private void onStartRefused(Run run, long now) {
        if (run.hasUnansweredStart) {
            // An earlier copy of the start may still arrive.
            mState.stopRun(run, StopReason.REFUSED, now);
        } else {
            mState.removeRun(run);
        }
        stopGangOf(run, now);
    }

    /** Sends a worker that refuses starts nothing for a time that grows with each refusal. */
    private static void backOff(Worker worker, long now) {
        long pause =
                Math.min(
                        MAX_REFUSAL_BACKOFF_MS,
                        FIRST_REFUSAL_BACKOFF_MS << worker.consecutiveRefusals);
        worker.consecutiveRefusals =
                Math.min(worker.consecutiveRefusals + 1, MAX_BACKOFF_DOUBLINGS);
        worker.quarantinedUntilMs = Math.max(worker.quarantinedUntilMs, now + pause);
    }

    void onStopAnswer(Run run, OrderAnswer answer, long now) {
        if (run.phase == Phase.STOPPING && answer == OrderAnswer.ACCEPTED) {
            run.confirmedAtMs = Math.min(run.confirmedAtMs, now);
        }
        if (answer == OrderAnswer.REPLACED) {
            onLost(run, now);
        }
    }

    /** Repeats stops without effect and stops what stands still. */
    void onTick(long now) {
        for (Worker worker : mState.workers.values()) {
            for (Run run : new ArrayList<>(worker.runs.values())) {
                if (run.phase == Phase.STOPPING && now - run.lastStopSentAtMs > STOP_RETRY_MS) {
                    mState.sendStop(run, now);
                } else if (run.phase == Phase.RUNNING
                        && !worker.unresponsive
                        && isStalled(run, now)) {
                    run.task.failedWorkers.add(worker.id);
                    recordWorkerFailure(worker, run.task.step, now);
                    mState.stopRun(run, StopReason.STALLED, now);
                    stopGangOf(run, now);
                }
            }
        }
    }

    private boolean isStalled(Run run, long now) {
        StepInstance step = run.task.step;
        if (step.plan.longRunning()
                || step.plan.fills()
                || run.progressPercent >= ESTIMATE_REACHED_PERCENT) {
            return false;
        }
        long expected = mState.durationEstimator.expectedMs(step.job.record.queue(), step.plan);
        return now - run.lastProgressAtMs
                > Math.max(MIN_STALL_MS, Math.round(expected * STALL_FRACTION));
    }

    private void onRunningReported(Worker worker, Running running, long now) {
        Run run = worker.runs.get(running.run());
        if (run == null) {
            worker.unrecordedRuns.add(running.run());
            mState.stopUnrecordedRun(worker, running.run());
            return;
        }
        run.task.step.recordCheckpoint(run.task, running.checkpoint());
        if (run.phase == Phase.STARTING || run.phase == Phase.UNCONFIRMED) {
            run.phase = Phase.RUNNING;
            run.confirmedAtMs = now;
            run.startedAtMs = now;
            run.runningSinceMs = now;
            run.lastProgressAtMs = now;
            run.progressPercent = running.percent();
        }
        run.reportedUsage = running.usage();
        if (running.percent() > run.progressPercent) {
            run.progressPercent = running.percent();
            run.lastProgressAtMs = now;
        }
    }

    private void onEndReported(Worker worker, Ended end, long now) {
        Run run = worker.runs.get(end.run());
        Job job = mState.activeJobs.get(end.run().task().job());
        if (run != null) {
            run.task.step.recordCheckpoint(run.task, end.checkpoint());
            applyEnd(run, end.how(), now);
        } else if (job != null && end.how() == RunEnd.DONE) {
            onLateSuccess(job, end, now);
        }
        // The end of a run whose job has ended waits until the job's end is saved.
        Job owner = mState.findJob(end.run().task().job());
        long version = owner == null ? 0 : owner.version;
        worker.unsavedEnds.add(new UnsavedEnd(end.number(), end.run().task().job(), version));
    }

    /** Counts a success whose run was given up, unless a newer run has been recorded. */
    private void onLateSuccess(Job job, Ended end, long now) {
        Task task = findTask(job, end.run());
        if (task != null
                && !task.done
                && task.run == null
                && task.attempt == end.run().attempt()
                && !task.step.plan.gang()) {
            task.done = true;
            mState.markUnsaved(job);
            completeJobIfDone(job, now);
        }
    }

    private void applyEnd(Run run, RunEnd how, long now) {
        StepInstance step = run.task.step;
        Job job = step.job;
        boolean current = run.isCurrent() && mState.activeJobs.containsKey(job.id);
        if (how == RunEnd.DONE && current && !step.plan.longRunning()) {
            onSuccess(run, now);
        } else if (how == RunEnd.FAILED && current) {
            onFailure(run, now);
        }
        mState.removeRun(run);
        if (how != RunEnd.DONE) {
            stopGangOf(run, now);
        }
        completeJobIfDone(job, now);
    }

    private void onSuccess(Run run, long now) {
        StepInstance step = run.task.step;
        run.worker.failedSteps.clear();
        run.worker.quarantineMs = 0;
        if (run.runningSinceMs > 0 && run.task.attempt == 1 && !run.remote) {
            mState.durationEstimator.recordDuration(
                    step.job.record.queue(), step.plan, now - run.runningSinceMs);
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

    private void onFailure(Run run, long now) {
        StepInstance step = run.task.step;
        run.task.failedWorkers.add(run.worker.id);
        recordWorkerFailure(run.worker, step, now);
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
            mState.endJob(step.job, WorkState.FAILED, now);
        }
    }

    private void onLost(Run run, long now) {
        mState.removeRun(run);
        stopGangOf(run, now);
    }

    private void stopGangOf(Run run, long now) {
        StepInstance step = run.task.step;
        if (step.plan.gang() && !run.task.done) {
            mState.stopGang(step, run.ref.attempt(), now);
        }
    }

    private void completeJobIfDone(Job job, long now) {
        if (mState.activeJobs.containsKey(job.id) && job.isDone()) {
            mState.endJob(job, WorkState.COMPLETED, now);
        }
    }

    private static void recordWorkerFailure(Worker worker, StepInstance step, long now) {
        worker.failedSteps.add(step);
        if (worker.failedSteps.size() >= QUARANTINE_FAILED_STEPS) {
            worker.quarantineMs =
                    Math.min(
                            MAX_QUARANTINE_MS,
                            Math.max(FIRST_QUARANTINE_MS, worker.quarantineMs * 2));
            worker.quarantinedUntilMs = now + worker.quarantineMs;
        }
    }

    private boolean isOverIfAbsent(Run run, long askedAt) {
        boolean startLapsed = askedAt > run.lastStartSentAtMs + mSettings.orderExpiryMs();
        return switch (run.phase) {
            case RECORDING -> false;
            case STARTING -> startLapsed;
            case RUNNING -> askedAt >= run.confirmedAtMs;
            // A run that had begun cannot begin again, whether its stop is confirmed or not.
            case STOPPING -> askedAt >= Math.min(run.confirmedAtMs, run.startedAtMs) || startLapsed;
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
