package org.lycheeroad.coordination.jobs;

/**
 * Ranks waiting steps: first what is guaranteed, then what can still be of use, by the latest start
 * at which it still ends in time or, once that has passed, at which it is still of some use.
 */
final class DeadlineOrder implements SchedulingOrder {
    /** How late a job may end and still be of use, as a multiple of its objective. */
    private static final int USEFUL_LATENESS_FACTOR = 3;

    /** How much earlier a job of the next better priority is served, in milliseconds. */
    private static final long PRIORITY_BIAS_MS = 4_000;

    /** How long before the last moment a remote start is taken, if there is room. */
    private static final long REMOTE_LEAD_MS = 500;

    /**
     * How much earlier, as a share of its time, a remote start is taken for a job that can only end
     * late: expected times are rough, and a job that ends too late is of no use.
     */
    private static final double REMOTE_RESERVE_FRACTION = 0.5;

    private static final int GUARANTEED = 0;
    private static final int USEFUL = 1;
    private static final int TOO_LATE = 2;

    private final DurationEstimator mEstimator;

    DeadlineOrder(DurationEstimator durations) {
        mEstimator = durations;
    }

    @Override
    public Rank rank(StepInstance step, boolean guaranteed, long nowMs, long wallMs) {
        Job job = step.job;
        if (guaranteed) {
            return new Rank(GUARANTEED, job.acceptedAtMs);
        }
        long begin = latencyStartMs(step, nowMs, wallMs);
        if (step.plan.longRunning()) {
            return new Rank(USEFUL, begin + priorityBiasMs(job));
        }
        long objective = objectiveMs(job);
        long remaining = job.remainingCriticalPathMs(step.occurrence, mEstimator);
        long latest = begin + objective - remaining;
        if (latest >= nowMs) {
            return new Rank(USEFUL, latest + priorityBiasMs(job));
        }
        long latestOfUse = begin + USEFUL_LATENESS_FACTOR * objective - remaining;
        return latestOfUse >= nowMs
                ? new Rank(USEFUL, latestOfUse + priorityBiasMs(job))
                : new Rank(TOO_LATE, begin);
    }

    /**
     * A remote start is made at the last moment at which the job still ends in time, or at which it
     * is still of some use.
     */
    @Override
    public boolean shouldRunRemotely(
            StepInstance step, double remoteFactor, long nowMs, long wallMs) {
        Job job = step.job;
        long expected = mEstimator.expectedMs(job.record.queue(), step.plan);
        if (step.plan.longRunning()) {
            return nowMs - step.readySinceMs > expected;
        }
        long objective = objectiveMs(job);
        long begin = latencyStartMs(step, nowMs, wallMs);
        long rest = job.remainingCriticalPathMs(step.occurrence, mEstimator) - expected;
        long remote = Math.round(expected * remoteFactor) + rest;
        if (nowMs + expected + rest <= begin + objective) {
            long lastMoment = begin + objective - remote;
            return nowMs >= lastMoment - REMOTE_LEAD_MS && nowMs <= lastMoment;
        }
        long reserve = Math.round(remote * REMOTE_RESERVE_FRACTION) + REMOTE_LEAD_MS;
        return nowMs >= begin + USEFUL_LATENESS_FACTOR * objective - remote - reserve;
    }

    @Override
    public long latestStartMs(StepInstance step, long nowMs, long wallMs) {
        return latencyStartMs(step, nowMs, wallMs)
                + objectiveMs(step.job)
                - step.job.remainingCriticalPathMs(step.occurrence, mEstimator);
    }

    /** Returns when the time of a step's job begins to count. */
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
