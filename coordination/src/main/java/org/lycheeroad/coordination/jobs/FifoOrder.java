package org.lycheeroad.coordination.jobs;

import org.lycheeroad.coordination.overload.Verdict;

/** Ranks steps by their jobs' arrival and lets them run on any worker; a baseline. */
final class FifoOrder implements SchedulingOrder {
    private final SchedulingOrder mDeadlines;

    FifoOrder(SchedulingOrder deadlines) {
        mDeadlines = deadlines;
    }

    @Override
    public Rank rank(StepInstance step, boolean guaranteed, long nowMs, long wallMs) {
        return new Rank(0, step.job.acceptedAtMs);
    }

    @Override
    public Rank rankBehind(StepInstance step, Verdict verdict, long nowMs, long wallMs) {
        return rank(step, false, nowMs, wallMs);
    }

    @Override
    public boolean shouldRunRemotely(
            StepInstance step, double remoteFactor, long nowMs, long wallMs) {
        return true;
    }

    @Override
    public long latestStartMs(StepInstance step, long nowMs, long wallMs) {
        return mDeadlines.latestStartMs(step, nowMs, wallMs);
    }

    @Override
    public long objectiveEndMs(StepInstance step, long nowMs, long wallMs) {
        return mDeadlines.objectiveEndMs(step, nowMs, wallMs);
    }

    @Override
    public long lastUsefulEndMs(StepInstance step, long nowMs, long wallMs) {
        return mDeadlines.lastUsefulEndMs(step, nowMs, wallMs);
    }

    @Override
    public long objectiveMs(Job job) {
        return mDeadlines.objectiveMs(job);
    }
}
