package org.lycheeroad.benchmarks.jobs;

import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.StepPlan;

/**
 * One job of the model and what became of it.
 *
 * <p>Its single step has the true duration {@link #workMs} on a worker of speed 1.
 */
final class ModelJob {
    public final JobId id;
    public final TeamId team;
    public final JobClass kind;
    public final StepPlan step;
    public final long workMs;
    public final long arrivesAt;

    /** How many runs fail before one succeeds. */
    public int failuresLeft;

    /** When the job ended; negative until then. */
    public long endedAt = -1;

    /** When all its tasks had begun for the first time; negative until then. */
    public long allBegunAt = -1;

    /** Whether all urgent jobs of its team then fitted into the team's guarantee. */
    public boolean guaranteed;

    ModelJob(JobId id, TeamId team, JobClass kind, StepPlan step, long workMs, long arrivesAt) {
        this.id = id;
        this.team = team;
        this.kind = kind;
        this.step = step;
        this.workMs = workMs;
        this.arrivesAt = arrivesAt;
    }

    /** Returns the work in core-seconds; an accelerator counts as 8 cores. */
    double work() {
        return step.count() * coresOf(step) * workMs / 1_000;
    }

    static double coresOf(StepPlan step) {
        return step.need().cpuMillis() / 1_000.0 + 8.0 * step.need().accelerators();
    }

    long objectiveMs() {
        return Math.round(kind.slackFactor() * workMs) + kind.targetLatencyMs();
    }
}
