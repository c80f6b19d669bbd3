package org.lycheeroad.coordination.jobs;

/** Serves steps first come, first served, wherever they fit; a baseline for comparisons. */
final class ArrivalOrder implements ServiceOrder {
    private final ServiceOrder mTimes;

    ArrivalOrder(ServiceOrder times) {
        mTimes = times;
    }

    @Override
    public Rank rank(StepInstance step, boolean guaranteed, long now, long wallMs) {
        return new Rank(0, step.job.acceptedAtMs);
    }

    @Override
    public boolean shouldRunRemotely(
            StepInstance step, double remoteFactor, long now, long wallMs) {
        return true;
    }

    @Override
    public long latestStart(StepInstance step, long now, long wallMs) {
        return mTimes.latestStart(step, now, wallMs);
    }

    @Override
    public long objectiveMs(Job job) {
        return mTimes.objectiveMs(job);
    }
}
