package org.lycheeroad.coordination.jobs;

/** Serves steps first come, first served, wherever they fit; a baseline for comparisons. */
final class ArrivalOrder implements ServiceOrder {
    private final ServiceOrder mTimes;

    ArrivalOrder(ServiceOrder times) {
        mTimes = times;
    }

    @Override
    public Rank rank(StepRun step, boolean guaranteed, long now, long wallMs) {
        return new Rank(0, step.job.acceptedAt);
    }

    @Override
    public boolean shouldRunRemotely(StepRun step, double remoteFactor, long now, long wallMs) {
        return true;
    }

    @Override
    public long latestStart(StepRun step, long now, long wallMs) {
        return mTimes.latestStart(step, now, wallMs);
    }

    @Override
    public long objectiveMs(Job job) {
        return mTimes.objectiveMs(job);
    }
}
