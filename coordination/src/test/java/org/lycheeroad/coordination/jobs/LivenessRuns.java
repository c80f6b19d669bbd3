package org.lycheeroad.coordination.jobs;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.coordination.jobs.LivenessWorker.ActualRun;
import org.lycheeroad.coordination.jobs.LivenessWorld.Kind;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;

/** Draws when and how runs end, and lets the runs of a gang work and end together. */
final class LivenessRuns {
    private static final long GANG_TIMEOUT_MS = 3_000;

    private final LivenessWorld mWorld;
    private final Map<JobId, Integer> mFailedRuns = new HashMap<>();

    LivenessRuns(LivenessWorld world) {
        mWorld = world;
    }

    int failedRuns(JobId id) {
        return mFailedRuns.getOrDefault(id, 0);
    }

    /** Starts a run that a worker has accepted. */
    void begin(LivenessWorker worker, RunRef run, StepPlan step) {
        worker.runs.put(run, drawRun(worker, run, step));
        beginIfGangIsWhole(run, step);
    }

    /** Ends the runs of a worker that crashes. */
    void crash(LivenessWorker worker) {
        List<RunRef> runs = List.copyOf(worker.runs.keySet());
        worker.crash();
        for (RunRef run : runs) {
            mWorld.check.onRunEnded(run, mWorld.nowMs);
            breakGang(run);
        }
    }

    private ActualRun drawRun(LivenessWorker worker, RunRef run, StepPlan step) {
        boolean fails =
                mWorld.nowMs < worker.failingUntilMs || mWorld.hopeless.contains(run.task().job());
        if (step.gang()) {
            return new ActualRun(
                    step, mWorld.nowMs, mWorld.nowMs + GANG_TIMEOUT_MS, RunOutcome.ALONE);
        }
        if (fails) {
            return new ActualRun(
                    step, mWorld.nowMs, mWorld.nowMs + drawFailureMs(), RunOutcome.FAILED);
        }
        if (step.longRunning()) {
            return mWorld.strikes(Kind.TASK_FAILURES, 3)
                    ? new ActualRun(
                            step,
                            mWorld.nowMs,
                            mWorld.nowMs + 500 + mWorld.random.nextInt(9_000),
                            RunOutcome.FAILED)
                    : new ActualRun(step, mWorld.nowMs, Long.MAX_VALUE, RunOutcome.DONE);
        }
        RunOutcome outcome =
                mWorld.strikes(Kind.TASK_FAILURES, 12) ? RunOutcome.FAILED : RunOutcome.DONE;
        return new ActualRun(step, mWorld.nowMs, mWorld.nowMs + drawDurationMs(step), outcome);
    }

    private long drawFailureMs() {
        return 50L + mWorld.random.nextInt(500);
    }

    private long drawDurationMs(StepPlan step) {
        return Math.round(step.estimateMs() * (0.6 + mWorld.random.nextDouble()));
    }

    /** A gang begins to work when its last member has started. */
    private void beginIfGangIsWhole(RunRef run, StepPlan step) {
        Map<RunRef, LivenessWorker> members = step.gang() ? gangOf(run) : Map.of();
        if (members.size() < step.count() || !step.gang()) {
            return;
        }
        long endsMs = mWorld.nowMs + drawDurationMs(step);
        members.forEach(
                (member, worker) -> {
                    ActualRun actual = worker.runs.get(member);
                    if (actual.outcome == RunOutcome.ALONE) {
                        actual.endsAtMs = endsMs;
                        actual.outcome = RunOutcome.DONE;
                    }
                });
        LivenessWorker worker = members.get(run);
        boolean fails =
                mWorld.nowMs < worker.failingUntilMs || mWorld.hopeless.contains(run.task().job());
        if (fails || mWorld.strikes(Kind.TASK_FAILURES, 12)) {
            worker.runs.get(run).endsAtMs = mWorld.nowMs + drawFailureMs();
            worker.runs.get(run).outcome = RunOutcome.FAILED;
        }
    }

    void endRuns(LivenessWorker worker) {
        for (RunRef run : List.copyOf(worker.runs.keySet())) {
            ActualRun actual = worker.runs.get(run);
            if (actual != null && worker.isLapsed(mWorld.nowMs)) {
                end(worker, run, RunOutcome.LAPSED);
            } else if (actual != null && mWorld.nowMs >= actual.endsAtMs) {
                end(worker, run, actual.outcome);
            }
        }
    }

    private void end(LivenessWorker worker, RunRef run, RunOutcome outcome) {
        boolean gang = worker.runs.get(run).plan.gang();
        mWorld.trace(run + " ends " + outcome + " on " + worker.identity.id());
        worker.end(run, outcome);
        mWorld.check.onRunEnded(run, mWorld.nowMs);
        if (outcome == RunOutcome.FAILED) {
            mFailedRuns.merge(run.task().job(), 1, Integer::sum);
        }
        if (gang && outcome == RunOutcome.DONE) {
            gangOf(run).forEach((member, other) -> endTogether(other, member));
        } else if (gang && outcome != RunOutcome.BROKEN) {
            breakGang(run);
        }
    }

    private void endTogether(LivenessWorker worker, RunRef run) {
        worker.end(run, RunOutcome.DONE);
        mWorld.check.onRunEnded(run, mWorld.nowMs);
    }

    private void breakGang(RunRef run) {
        StepPlan step = mWorld.stepOf(run.task());
        if (step.gang()) {
            gangOf(run).forEach((member, other) -> end(other, member, RunOutcome.BROKEN));
        }
    }

    /** Returns the runs of a run's gang attempt, each with its worker. */
    private Map<RunRef, LivenessWorker> gangOf(RunRef run) {
        Map<RunRef, LivenessWorker> members = new HashMap<>();
        for (LivenessWorker worker : mWorld.workers.values()) {
            for (Map.Entry<RunRef, ActualRun> entry : worker.runs.entrySet()) {
                TaskRef task = entry.getKey().task();
                if (entry.getKey().attempt() == run.attempt()
                        && task.job().equals(run.task().job())
                        && task.occurrence() == run.task().occurrence()
                        && task.step() == run.task().step()) {
                    members.put(entry.getKey(), worker);
                }
            }
        }
        return members;
    }
}
