package org.lycheeroad.coordination.jobs;

/**
 * Ranks waiting steps: first what is guaranteed, then what can still be in time, then what can
 * still be of some use.
 */
final class ServiceOrder {
    /** How late a job may end and still be of use, as a multiple of its objective. */
    private static final int LATE_FACTOR = 3;

    /** How much earlier a job of the next better priority is served, in milliseconds. */
    private static final long PRIORITY_MS = 4_000;

    /** The rank of a step; lower comes first. */
    record Rank(int tier, long latestStart) implements Comparable<Rank> {
        @Override
        public int compareTo(Rank other) {
            int byTier = Integer.compare(tier, other.tier);
            return byTier != 0 ? byTier : Long.compare(latestStart, other.latestStart);
        }
    }

    private static final int GUARANTEED = 0;
    private static final int IN_TIME = 1;
    private static final int LATE = 2;
    private static final int TOO_LATE = 3;

    private final Durations mDurations;

    ServiceOrder(Durations durations) {
        mDurations = durations;
    }

    Rank rank(StepRun step, boolean guaranteed, long now, long wallMs) {
        Job job = step.job;
        if (guaranteed) {
            return new Rank(GUARANTEED, job.acceptedAt);
        }
        long begin = job.acceptedAt;
        if (job.record.plan().isTimed()) {
            begin = now - (wallMs - job.record.plan().dueAtMs(step.occurrence));
        }
        if (step.plan.longRunning()) {
            return new Rank(IN_TIME, begin + bias(job));
        }
        long objective = objectiveMs(job);
        long remaining = job.remainingChainMs(step.occurrence, mDurations);
        long latest = begin + objective - remaining;
        if (latest >= now) {
            return new Rank(IN_TIME, latest + bias(job));
        }
        long latestOfUse = begin + LATE_FACTOR * objective - remaining;
        return latestOfUse >= now
                ? new Rank(LATE, latestOfUse + bias(job))
                : new Rank(TOO_LATE, begin);
    }

    /** Returns the time within which a job should end, in milliseconds. */
    long objectiveMs(Job job) {
        return Math.round(job.queue.slackFactor() * job.chainMs(mDurations))
                + job.queue.targetLatencyMs();
    }

    private static long bias(Job job) {
        return job.queue.priority() * PRIORITY_MS;
    }
}
