package org.lycheeroad.coordination.jobs;

/**
 * The speed of a worker in relation to others: the geometric mean of the speeds of its runs, each
 * compared with runs of the same step on other workers, drawn towards the mean of the fleet.
 */
final class WorkerSpeed {
    /**
     * The weight of the assumption that the worker is as fast as others while the spread of speeds
     * is not known, in observations. Tasks of one step differ by about as much as workers do.
     */
    static final double DEFAULT_PRIOR_WEIGHT = 4;

    /** The weight of the observations is bounded, so that a new speed replaces the old one. */
    private static final double MAX_WEIGHT = 10;

    /** Bounds the effect of a single task that is much shorter or longer than its siblings. */
    private static final double MAX_LOG = Math.log(4);

    private double mPriorWeight = DEFAULT_PRIOR_WEIGHT;
    private double mFleetLog;
    private double mWeight;
    private double mLogSum;
    private double mSquareSum;
    private double mValue = 1;

    /** Adds the speed of one run, where 1 is that of the runs on other workers. */
    void add(double relativeSpeed) {
        double log = Math.max(-MAX_LOG, Math.min(MAX_LOG, Math.log(relativeSpeed)));
        if (mWeight >= MAX_WEIGHT) {
            double kept = (MAX_WEIGHT - 1) / mWeight;
            mWeight *= kept;
            mLogSum *= kept;
            mSquareSum *= kept;
        }
        mWeight += 1;
        mLogSum += log;
        mSquareSum += log * log;
        update();
    }

    /**
     * Sets what is known of the fleet.
     *
     * @param weight the weight of the fleet's mean, in observations
     * @param meanLog the mean logarithm of the workers' speeds, which makes the nominal speed
     */
    void setPrior(double weight, double meanLog) {
        mPriorWeight = weight;
        mFleetLog = meanLog;
        update();
    }

    /** Returns the speed; 1 without observations. */
    double value() {
        return mValue;
    }

    /** Returns the number of observations, of which old ones count less. */
    double weight() {
        return mWeight;
    }

    /** Returns the mean logarithm of the observed speeds. */
    double meanLog() {
        return mWeight == 0 ? 0 : mLogSum / mWeight;
    }

    /** Returns the sum of the squared differences of the observed logarithms from their mean. */
    double squaredDeviations() {
        return mWeight == 0 ? 0 : Math.max(0, mSquareSum - mLogSum * mLogSum / mWeight);
    }

    private void update() {
        mValue = Math.exp((mLogSum - mWeight * mFleetLog) / (mWeight + mPriorWeight));
    }
}
