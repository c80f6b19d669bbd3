package org.lycheeroad.benchmarks.jobs;

import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.StepPlan;

/**
 * A job of the simulation with its progress.
 *
 * <p>Its single step has the true duration {@link #taskDurationMs} on a worker of speed 1.
 */
final class SimulatedJob {
    public final JobId id;
    public final TeamId team;
    public final JobClass jobClass;
    public final StepPlan step;
    public final long taskDurationMs;
    public final long arrivesAtMs;

    /** How many more executions fail before one succeeds. */
    public int failuresLeft;

    /** When the job ended, in simulated milliseconds; -1 until then. */
    public long endedAtMs = -1;

    /**
     * When all tasks were executing at the same time for the first time, in simulated milliseconds;
     * -1 until then.
     */
    public long allBegunAtMs = -1;

    /**
     * Whether the job is urgent and the urgent jobs of its team, including this one, fitted into
     * the guarantee of the team when the job arrived.
     */
    public boolean withinGuarantee;

    SimulatedJob(
            JobId id,
            TeamId team,
            JobClass jobClass,
            StepPlan step,
            long taskDurationMs,
            long arrivesAtMs) {
        this.id = id;
        this.team = team;
        this.jobClass = jobClass;
        this.step = step;
        this.taskDurationMs = taskDurationMs;
        this.arrivesAtMs = arrivesAtMs;
    }

    /** Returns the work of all tasks in core-seconds; an accelerator counts as 8 cores. */
    double coreSeconds() {
        return step.count() * equivalentCores(step) * taskDurationMs / 1_000;
    }

    static double equivalentCores(StepPlan step) {
        return step.need().cpuMillis() / 1_000.0 + 8.0 * step.need().accelerators();
    }

    long latencyObjectiveMs() {
        return Math.round(jobClass.slackFactor() * taskDurationMs) + jobClass.targetLatencyMs();
    }
}
