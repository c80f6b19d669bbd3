package org.lycheeroad.coordination.jobs;

import org.lycheeroad.coordination.overload.Verdict;

/**
 * Ranks guaranteed steps first, then steps whose jobs can still end usefully, then all others.
 *
 * <p>Steps of the middle tier are ranked by the latest start with which the job ends within its
 * objective or, if that has passed, by the latest start with which its result is still useful.
 */
final class DeadlineOrder implements SchedulingOrder {
    /** The latest end at which a job's result is still useful, as a multiple of its objective. */
    private static final int USEFUL_LATENESS_FACTOR = 3;

    /** By how much each priority level advances a job's steps in the order. */
    private static final long PRIORITY_BIAS_MS = 4_000;

    /** How long before the latest acceptable remote start a remote start is allowed. */
    private static final long REMOTE_LEAD_MS = 500;

    /**
     * How much earlier a remote start is allowed for a job that can only end late, as a fraction of
     * its remote duration. Estimates are rough, and a job that ends too late is of no use.
     */
    private static final double REMOTE_RESERVE_FRACTION = 0.5;

    private static final int GUARANTEED = 0;
    private static final int USEFUL = 1;
    private static final int TOO_LATE = 2;

    private final DurationEstimator mEstimator;

    DeadlineOrder(DurationEstimator estimator) {
        mEstimator = estimator;
    }

    @Override
    public Rank rank(StepInstance step, boolean guaranteed, long nowMs, long wallMs) {
        Job job = step.job;
        if (guaranteed) {
            return new Rank(GUARANTEED, job.acceptedAtMs);
        }
        long startMs = latencyStartMs(step, nowMs, wallMs);
        if (step.plan.longRunning()) {
            return new Rank(USEFUL, startMs + priorityBiasMs(job));
        }
        long objectiveMs = objectiveMs(job);
        long remainingMs = job.remainingCriticalPathMs(step.occurrence, mEstimator);
        long latestMs = startMs + objectiveMs - remainingMs;
        if (latestMs >= nowMs) {
            return new Rank(USEFUL, latestMs + priorityBiasMs(job));
        }
        long latestUsefulMs = startMs + USEFUL_LATENESS_FACTOR * objectiveMs - remainingMs;
        return latestUsefulMs >= nowMs
                ? new Rank(USEFUL, latestUsefulMs + priorityBiasMs(job))
                : new Rank(TOO_LATE, startMs);
    }

    @Override
    public Rank rankBehind(StepInstance step, Verdict verdict, long nowMs, long wallMs) {
        if (verdict == Verdict.USELESS) {
            return new Rank(TOO_LATE, latencyStartMs(step, nowMs, wallMs));
        }
        long remainingMs = step.job.remainingCriticalPathMs(step.occurrence, mEstimator);
        long latestUsefulMs = lastUsefulEndMs(step, nowMs, wallMs) - remainingMs;
        return new Rank(USEFUL, latestUsefulMs + priorityBiasMs(step.job));
    }

    /**
     * Allows a remote start shortly before the latest one with which the job still ends within its
     * objective or, if it cannot, with which its result is still useful. Long-running steps have no
     * such start.
     */
    @Override
    public boolean shouldRunRemotely(
            StepInstance step, double remoteFactor, long nowMs, long wallMs) {
        if (step.plan.longRunning()) {
            return false;
        }
        Job job = step.job;
        long expectedMs = step.expectedMs(mEstimator);
        long objectiveMs = objectiveMs(job);
        long startMs = latencyStartMs(step, nowMs, wallMs);
        long restMs = job.remainingCriticalPathMs(step.occurrence, mEstimator) - expectedMs;
        long remoteMs = Math.round(expectedMs * remoteFactor) + restMs;
        if (nowMs + expectedMs + restMs <= startMs + objectiveMs) {
            long latestRemoteStartMs = startMs + objectiveMs - remoteMs;
            return nowMs >= latestRemoteStartMs - REMOTE_LEAD_MS && nowMs <= latestRemoteStartMs;
        }
        long reserveMs = Math.round(remoteMs * REMOTE_RESERVE_FRACTION) + REMOTE_LEAD_MS;
        return nowMs >= startMs + USEFUL_LATENESS_FACTOR * objectiveMs - remoteMs - reserveMs;
    }

    @Override
    public long latestStartMs(StepInstance step, long nowMs, long wallMs) {
        return objectiveEndMs(step, nowMs, wallMs)
                - step.job.remainingCriticalPathMs(step.occurrence, mEstimator);
    }

    @Override
    public long objectiveEndMs(StepInstance step, long nowMs, long wallMs) {
        return latencyStartMs(step, nowMs, wallMs) + objectiveMs(step.job);
    }

    @Override
    public long lastUsefulEndMs(StepInstance step, long nowMs, long wallMs) {
        return latencyStartMs(step, nowMs, wallMs) + USEFUL_LATENESS_FACTOR * objectiveMs(step.job);
    }

    /** Returns the time from which a job's objective counts: its due time or its acceptance. */
    private static long latencyStartMs(StepInstance step, long nowMs, long wallMs) {
        Job job = step.job;
        return job.record.plan().isTimed()
                ? nowMs - (wallMs - job.record.plan().dueAtMs(step.occurrence))
                : job.acceptedAtMs;
    }

    @Override
    public long objectiveMs(Job job) {
        return Math.round(job.queue.slackFactor() * job.criticalPathMs(mEstimator))
                + job.queue.targetLatencyMs();
    }

    private static long priorityBiasMs(Job job) {
        return job.queue.priority() * PRIORITY_BIAS_MS;
    }
}
