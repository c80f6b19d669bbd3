package org.lycheeroad.coordination.jobs;

/**
 * Ranks waiting steps: first what is guaranteed, then what can still be of use, by the latest start
 * at which it still ends in time or, once that has passed, at which it is still of some use.
 */
final class UsefulOrder implements ServiceOrder {
    /** How late a job may end and still be of use, as a multiple of its objective. */
    private static final int LATE_FACTOR = 3;

    /** How much earlier a job of the next better priority is served, in milliseconds. */
    private static final long PRIORITY_MS = 4_000;

    /** How long before the last moment a remote start is taken, if there is room. */
    private static final long REMOTE_EARLY_MS = 500;

    /**
     * How much earlier, as a share of its time, a remote start is taken for a job that can only end
     * late: expected times are rough, and a job that ends too late is of no use.
     */
    private static final double REMOTE_RESERVE = 0.5;

    private static final int GUARANTEED = 0;
    private static final int USEFUL = 1;
    private static final int TOO_LATE = 2;

    private final DurationEstimates mDurations;

    UsefulOrder(DurationEstimates durations) {
        mDurations = durations;
    }

    @Override
    public Rank rank(StepInstance step, boolean guaranteed, long now, long wallMs) {
        Job job = step.job;
        if (guaranteed) {
            return new Rank(GUARANTEED, job.acceptedAtMs);
        }
        long begin = beginOf(step, now, wallMs);
        if (step.plan.longRunning()) {
            return new Rank(USEFUL, begin + bias(job));
        }
        long objective = objectiveMs(job);
        long remaining = job.remainingCriticalPathMs(step.occurrence, mDurations);
        long latest = begin + objective - remaining;
        if (latest >= now) {
            return new Rank(USEFUL, latest + bias(job));
        }
        long latestOfUse = begin + LATE_FACTOR * objective - remaining;
        return latestOfUse >= now
                ? new Rank(USEFUL, latestOfUse + bias(job))
                : new Rank(TOO_LATE, begin);
    }

    /**
     * A remote start is made at the last moment at which the job still ends in time, or at which it
     * is still of some use.
     */
    @Override
    public boolean shouldRunRemotely(
            StepInstance step, double remoteFactor, long now, long wallMs) {
        Job job = step.job;
        long expected = mDurations.expectedMs(job.record.queue(), step.plan);
        if (step.plan.longRunning()) {
            return now - step.readySinceMs > expected;
        }
        long objective = objectiveMs(job);
        long begin = beginOf(step, now, wallMs);
        long rest = job.remainingCriticalPathMs(step.occurrence, mDurations) - expected;
        long remote = Math.round(expected * remoteFactor) + rest;
        if (now + expected + rest <= begin + objective) {
            long lastMoment = begin + objective - remote;
            return now >= lastMoment - REMOTE_EARLY_MS && now <= lastMoment;
        }
        long reserve = Math.round(remote * REMOTE_RESERVE) + REMOTE_EARLY_MS;
        return now >= begin + LATE_FACTOR * objective - remote - reserve;
    }

    @Override
    public long latestStart(StepInstance step, long now, long wallMs) {
        return beginOf(step, now, wallMs)
                + objectiveMs(step.job)
                - step.job.remainingCriticalPathMs(step.occurrence, mDurations);
    }

    /** Returns when the time of a step's job begins to count. */
    private static long beginOf(StepInstance step, long now, long wallMs) {
        Job job = step.job;
        return job.record.plan().isTimed()
                ? now - (wallMs - job.record.plan().dueAtMs(step.occurrence))
                : job.acceptedAtMs;
    }

    @Override
    public long objectiveMs(Job job) {
        return Math.round(job.queue.slackFactor() * job.criticalPathMs(mDurations))
                + job.queue.targetLatencyMs();
    }

    private static long bias(Job job) {
        return job.queue.priority() * PRIORITY_MS;
    }
}
