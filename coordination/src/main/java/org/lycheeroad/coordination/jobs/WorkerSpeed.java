package org.lycheeroad.coordination.jobs;

/**
 * The speed of a worker in relation to others: the geometric mean of the speeds of its runs, each
 * compared with runs of the same step on other workers.
 */
final class WorkerSpeed {
    /**
     * The weight of the assumption that the worker is as fast as others, in observations. Tasks of
     * one step differ by about as much as workers do.
     */
    private static final double PRIOR_WEIGHT = 4;

    /** The weight of the observations is bounded, so that the newest ones keep theirs. */
    private static final double MAX_WEIGHT = 30;

    private double mWeight;
    private double mLogSum;

    /** Adds the speed of one run, where 1 is that of the runs on other workers. */
    void add(double relativeSpeed) {
        if (mWeight >= MAX_WEIGHT) {
            double kept = (MAX_WEIGHT - 1) / mWeight;
            mWeight *= kept;
            mLogSum *= kept;
        }
        mWeight += 1;
        mLogSum += Math.log(relativeSpeed);
    }

    /** Returns the speed; 1 without observations. */
    double value() {
        return Math.exp(mLogSum / (mWeight + PRIOR_WEIGHT));
    }
}
