package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.Worker.ListedEnd;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;

/** Follows runs from what workers answer and list. */
final class RunTracker {
    /** How long a start without an answer is repeated; well below the usual gang wait of 3 s. */
    private static final long REPEAT_START_MS = 1_500;

    /** How long a stop waits for its effect before it is repeated; stops take some 200-400 ms. */
    private static final long REPEAT_STOP_MS = 700;

    /** How long a worker that fails several jobs gets no work at first. */
    private static final long FIRST_QUARANTINE_MS = 3_000;

    private static final long MAX_QUARANTINE_MS = 24_000;

    /** How many steps in a row must fail on a worker before it is blamed. */
    private static final int BLAMED_STEPS = 2;

    /** How long a worker that refused a start gets no further ones at first. */
    private static final long REFUSED_PAUSE_MS = 500;

    private static final long MAX_REFUSED_PAUSE_MS = 8_000;

    /** Enough doublings to reach the longest pause. */
    private static final int MAX_REFUSALS = 4;

    /** How long a task may make no progress at least. */
    private static final long STALL_MS = 3_500;

    /** The share of a task's expected time in which it must make some progress. */
    private static final double STALL_SHARE = 0.25;

    /** Workers derive the percentage from the estimate; a longer task stays near its end. */
    private static final int ESTIMATE_USED_UP = 95;

    private final Cluster mCluster;
    private final SchedulerSettings mSettings;
    private final FillThrottle mThrottle;

    RunTracker(Cluster cluster, SchedulerSettings settings) {
        mCluster = cluster;
        mSettings = settings;
        mThrottle = new FillThrottle(cluster);
    }

    /** Applies a worker's list; {@code askedAt} is when the list was asked for. */
    void onRuns(Worker worker, WorkerRuns report, long askedAt, long now) {
        if (report.incarnationStartMs() < worker.bornMs) {
            return;
        }
        if (report.incarnationStartMs() > worker.bornMs) {
            onBorn(worker, report, now);
        }
        worker.seen = true;
        worker.silent = false;
        for (EndedRun end : report.endedRuns()) {
            if (end.sequence() > worker.newestEnd) {
                worker.newestEnd = end.sequence();
                onEnd(worker, end, now);
            }
        }
        Set<RunRef> present = new HashSet<>();
        worker.strangers.clear();
        for (ActiveRun running : report.activeRuns()) {
            present.add(running.run());
            onRunning(worker, running, now);
        }
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (!present.contains(run.ref) && isOverWhenAbsent(run, askedAt)) {
                onLost(run, now);
            }
        }
        mThrottle.onReport(worker, now);
    }

    /** A new incarnation holds nothing of the one before, but may have been sent starts already. */
    private void onBorn(Worker worker, WorkerRuns report, long now) {
        worker.bornMs = report.incarnationStartMs();
        worker.newestEnd = 0;
        worker.observed = 0;
        worker.listedEnds.clear();
        worker.strangers.clear();
        Set<RunRef> listed = new HashSet<>();
        report.activeRuns().forEach(running -> listed.add(running.run()));
        report.endedRuns().forEach(end -> listed.add(end.run()));
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (listed.contains(run.ref)) {
                run.bornMs = report.incarnationStartMs();
                mCluster.touch(run.task.step.job);
            } else if (run.phase == Phase.STARTING) {
                mCluster.stop(run, StopReason.NO_ANSWER, now);
                stopOthers(run, now);
            } else if (run.phase == Phase.STOPPING && run.begunAt == Long.MAX_VALUE) {
                // What bars a late start has to be confirmed anew.
                run.confirmedAt = Long.MAX_VALUE;
            } else {
                onLost(run, now);
            }
        }
    }

    /** Treats all runs of a worker as over. */
    void onLapsed(Worker worker, long now) {
        for (Run run : new ArrayList<>(worker.runs.values())) {
            onLost(run, now);
        }
    }

    void onStartAnswer(Run run, OrderAnswer answer, long now) {
        if (run.phase != Phase.STARTING) {
            run.startUnsure |= answer == OrderAnswer.UNKNOWN;
            return;
        }
        switch (answer) {
            case ACCEPTED -> {
                run.worker.refusals = 0;
                run.phase = Phase.RUNNING;
                run.confirmedAt = now;
                run.begunAt = now;
                run.workingSince = now;
                run.progressAt = now;
            }
            case UNKNOWN -> {
                run.startUnsure = true;
                if (now - run.sentAt < REPEAT_START_MS) {
                    mCluster.sendStart(run, now);
                } else {
                    mCluster.stop(run, StopReason.NO_ANSWER, now);
                    stopOthers(run, now);
                }
            }
            case BAD_TICKET -> {
                run.task.step.permits.drop(run.worker.id);
                giveUp(run, now);
            }
            default -> {
                pause(run.worker, now);
                giveUp(run, now);
            }
        }
    }

    /** Ends a run whose start was refused. */
    private void giveUp(Run run, long now) {
        if (run.startUnsure) {
            // An earlier copy of the start may still arrive.
            mCluster.stop(run, StopReason.REFUSED, now);
        } else {
            mCluster.release(run);
        }
        stopOthers(run, now);
    }

    /** Sends a worker that refuses starts nothing for a time that grows with each refusal. */
    private static void pause(Worker worker, long now) {
        long pause = Math.min(MAX_REFUSED_PAUSE_MS, REFUSED_PAUSE_MS << worker.refusals);
        worker.refusals = Math.min(worker.refusals + 1, MAX_REFUSALS);
        worker.quarantinedUntil = Math.max(worker.quarantinedUntil, now + pause);
    }

    void onStopAnswer(Run run, OrderAnswer answer, long now) {
        if (run.phase == Phase.STOPPING && answer == OrderAnswer.ACCEPTED) {
            run.confirmedAt = Math.min(run.confirmedAt, now);
        }
        if (answer == OrderAnswer.REPLACED) {
            onLost(run, now);
        }
    }

    /** Repeats stops without effect and stops what stands still. */
    void tick(long now) {
        for (Worker worker : mCluster.workers.values()) {
            for (Run run : new ArrayList<>(worker.runs.values())) {
                if (run.phase == Phase.STOPPING && now - run.stopSentAt > REPEAT_STOP_MS) {
                    mCluster.sendStop(run, now);
                } else if (run.phase == Phase.RUNNING && !worker.silent && isStalled(run, now)) {
                    run.task.failedOn.add(worker.id);
                    blame(worker, run.task.step, now);
                    mCluster.stop(run, StopReason.STALLED, now);
                    stopOthers(run, now);
                }
            }
        }
    }

    private boolean isStalled(Run run, long now) {
        StepRun step = run.task.step;
        if (step.plan.longRunning() || step.plan.fills() || run.percent >= ESTIMATE_USED_UP) {
            return false;
        }
        long expected = mCluster.durations.expectedMs(step.job.record.queue(), step.plan);
        return now - run.progressAt > Math.max(STALL_MS, Math.round(expected * STALL_SHARE));
    }

    private void onRunning(Worker worker, ActiveRun running, long now) {
        Run run = worker.runs.get(running.run());
        if (run == null) {
            worker.strangers.add(running.run());
            mCluster.stopStranger(worker, running.run());
            return;
        }
        run.task.step.saveCheckpoint(run.task, running.checkpoint());
        if (run.phase == Phase.STARTING || run.phase == Phase.UNCONFIRMED) {
            run.phase = Phase.RUNNING;
            run.confirmedAt = now;
            run.begunAt = now;
            run.workingSince = now;
            run.progressAt = now;
            run.percent = running.percent();
        }
        run.usage = running.usage();
        if (running.percent() > run.percent) {
            run.percent = running.percent();
            run.progressAt = now;
        }
    }

    private void onEnd(Worker worker, EndedRun end, long now) {
        Run run = worker.runs.get(end.run());
        Job job = mCluster.active.get(end.run().task().job());
        if (run != null) {
            run.task.step.saveCheckpoint(run.task, end.checkpoint());
            apply(run, end.outcome(), now);
        } else if (job != null && end.outcome() == RunOutcome.DONE) {
            onLateDone(job, end, now);
        }
        // The end of a run whose job has ended waits until the job's end is saved.
        Job owner = mCluster.job(end.run().task().job());
        long version = owner == null ? 0 : owner.version;
        worker.listedEnds.add(new ListedEnd(end.sequence(), end.run().task().job(), version));
    }

    /** Counts a success whose run was given up, unless a newer run has been recorded. */
    private void onLateDone(Job job, EndedRun end, long now) {
        Task task = find(job, end.run());
        if (task != null
                && !task.done
                && task.run == null
                && task.attempt == end.run().attempt()
                && !task.step.plan.gang()) {
            task.done = true;
            mCluster.touch(job);
            completeIfDone(job, now);
        }
    }

    private void apply(Run run, RunOutcome how, long now) {
        StepRun step = run.task.step;
        Job job = step.job;
        boolean current = run.isCurrent() && mCluster.active.containsKey(job.id);
        if (how == RunOutcome.DONE && current && !step.plan.longRunning()) {
            onDone(run, now);
        } else if (how == RunOutcome.FAILED && current) {
            onFailed(run, now);
        }
        mCluster.release(run);
        if (how != RunOutcome.DONE) {
            stopOthers(run, now);
        }
        completeIfDone(job, now);
    }

    private void onDone(Run run, long now) {
        StepRun step = run.task.step;
        run.worker.failedSteps.clear();
        run.worker.quarantineMs = 0;
        if (run.workingSince > 0 && run.task.attempt == 1 && !run.remote) {
            mCluster.durations.onDone(step.job.record.queue(), step.plan, now - run.workingSince);
        }
        run.task.done = true;
        if (step.plan.gang()) {
            // One member's success is the success of all.
            for (Task member : step.tasks) {
                member.done = true;
            }
        }
        mCluster.touch(step.job);
    }

    private void onFailed(Run run, long now) {
        StepRun step = run.task.step;
        run.task.failedOn.add(run.worker.id);
        blame(run.worker, step, now);
        int failures;
        if (step.plan.gang()) {
            if (step.failedAttempt < run.ref.attempt()) {
                step.failedAttempt = run.ref.attempt();
                step.gangFailures++;
            }
            failures = step.gangFailures;
        } else {
            failures = ++run.task.failures;
        }
        mCluster.touch(step.job);
        if (!step.plan.longRunning() && failures >= step.job.queue.maxAttempts()) {
            mCluster.end(step.job, WorkState.FAILED, now);
        }
    }

    private void onLost(Run run, long now) {
        mCluster.release(run);
        stopOthers(run, now);
    }

    private void stopOthers(Run run, long now) {
        StepRun step = run.task.step;
        if (step.plan.gang() && !run.task.done) {
            mCluster.stopGang(step, run.ref.attempt(), now);
        }
    }

    private void completeIfDone(Job job, long now) {
        if (mCluster.active.containsKey(job.id) && job.allDone()) {
            mCluster.end(job, WorkState.COMPLETED, now);
        }
    }

    private static void blame(Worker worker, StepRun step, long now) {
        worker.failedSteps.add(step);
        if (worker.failedSteps.size() >= BLAMED_STEPS) {
            worker.quarantineMs =
                    Math.min(
                            MAX_QUARANTINE_MS,
                            Math.max(FIRST_QUARANTINE_MS, worker.quarantineMs * 2));
            worker.quarantinedUntil = now + worker.quarantineMs;
        }
    }

    private boolean isOverWhenAbsent(Run run, long askedAt) {
        boolean startLapsed = askedAt > run.lastSentAt + mSettings.orderLapseMs();
        return switch (run.phase) {
            case RECORDING -> false;
            case STARTING -> startLapsed;
            case RUNNING -> askedAt >= run.confirmedAt;
            // A run that had begun cannot begin again, whether its stop is confirmed or not.
            case STOPPING -> askedAt >= Math.min(run.confirmedAt, run.begunAt) || startLapsed;
            // The owner's first look bars orders of earlier owners.
            case UNCONFIRMED -> true;
        };
    }

    private static Task find(Job job, RunRef run) {
        List<StepRun> steps = job.occurrences.get(run.task().occurrence());
        if (steps == null || run.task().step() >= steps.size()) {
            return null;
        }
        List<Task> tasks = steps.get(run.task().step()).tasks;
        return run.task().index() < tasks.size() ? tasks.get(run.task().index()) : null;
    }
}
