package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What the speeds of all workers have in common: their spread, and classes of like speed.
 *
 * <p>The spread between workers is told apart from that between runs on one worker. A fleet counts
 * as uneven only if the former is clear of what chance would show.
 */
final class FleetSpeeds {
    private static final long UPDATE_INTERVAL_MS = 1_000;

    /** The fewest observed workers whose spread tells anything. */
    private static final int MIN_WORKERS = 8;

    /** The assumed variance of the logarithms on one worker, until enough runs are observed. */
    private static final double ASSUMED_RUN_VARIANCE = 0.25 * 0.25;

    /** The weight of the assumption on the variance on one worker, in observations. */
    private static final double ASSUMED_RUN_WEIGHT = 8;

    /**
     * The least spread of speeds that matters, as a standard deviation of logarithms. Below it,
     * room in the right rack matters more.
     */
    private static final double MIN_SPREAD = 0.2;

    /** How many standard errors the variance between workers has to exceed. */
    private static final double SIGNIFICANCE = 3;

    /** The least weight of the fleet in a worker's speed; a single run may be exceptional. */
    private static final double MIN_PRIOR_WEIGHT = 0.15;

    /** The ratio of the speeds within a class. */
    private static final double CLASS_RATIO = 1.3;

    /** The fraction of the workers that are faster than the speed that counts as fast. */
    private static final double FAST_FRACTION = 0.1;

    /** The durations with observations that are not compared yet. */
    private final Set<ObservedDurations> mNewDurations = new LinkedHashSet<>();

    private long mUpdatedAtMs = Long.MIN_VALUE;
    private boolean mUneven;
    private double mSlow = 1;
    private double mMedian = 1;
    private double mFast = 1;
    private double mHighest = 1;
    private List<Double> mClasses = List.of();

    /**
     * Registers new observations of a step. They are compared all at once, as the first ones may
     * all be those of slow workers.
     */
    void onObserved(ObservedDurations durations) {
        mNewDurations.add(durations);
    }

    /** Updates the speeds of workers about once a second. */
    void update(Collection<Worker> workers, long nowMs) {
        if (mUpdatedAtMs != Long.MIN_VALUE && nowMs - mUpdatedAtMs < UPDATE_INTERVAL_MS) {
            return;
        }
        mUpdatedAtMs = nowMs;
        mNewDurations.forEach(ObservedDurations::updateSpeeds);
        mNewDurations.clear();
        List<WorkerSpeed> observed = new ArrayList<>();
        for (Worker worker : workers) {
            if (worker.registered && worker.speed.weight() > 0) {
                observed.add(worker.speed);
            }
        }
        updatePrior(workers, observed);
        summarize(workers);
    }

    private void updatePrior(Collection<Worker> workers, List<WorkerSpeed> observed) {
        double mean = observed.stream().mapToDouble(WorkerSpeed::meanLog).average().orElse(0);
        double freedom = ASSUMED_RUN_WEIGHT;
        double squares = ASSUMED_RUN_WEIGHT * ASSUMED_RUN_VARIANCE;
        double inverseWeights = 0;
        double totalSquares = 0;
        for (WorkerSpeed speed : observed) {
            freedom += Math.max(0, speed.weight() - 1);
            squares += speed.squaredDeviations();
            inverseWeights += 1 / speed.weight();
            totalSquares += Math.pow(speed.meanLog() - mean, 2);
        }
        mUneven = false;
        double priorWeight = WorkerSpeed.DEFAULT_PRIOR_WEIGHT;
        if (observed.size() >= MIN_WORKERS) {
            double runVariance = squares / freedom;
            double meanVariance = runVariance * inverseWeights / observed.size();
            double speedVariance = totalSquares / (observed.size() - 1) - meanVariance;
            double error = meanVariance * Math.sqrt(2.0 / (observed.size() - 1) + 2.0 / freedom);
            mUneven =
                    speedVariance > SIGNIFICANCE * error && speedVariance > MIN_SPREAD * MIN_SPREAD;
            if (mUneven) {
                priorWeight = Math.max(MIN_PRIOR_WEIGHT, runVariance / speedVariance);
            }
        }
        for (Worker worker : workers) {
            worker.speed.setPrior(priorWeight, mUneven ? mean : 0);
        }
    }

    private void summarize(Collection<Worker> workers) {
        double[] speeds =
                workers.stream()
                        .filter(w -> w.registered && !w.slow)
                        .mapToDouble(w -> w.speed.value())
                        .sorted()
                        .toArray();
        mClasses = new ArrayList<>();
        if (speeds.length == 0) {
            mSlow = mMedian = mFast = mHighest = 1;
            return;
        }
        mSlow = speeds[0];
        mMedian = speeds[(speeds.length - 1) / 2];
        mFast = speeds[(int) ((speeds.length - 1) * (1 - FAST_FRACTION))];
        mHighest = speeds[speeds.length - 1];
        for (double speed : speeds) {
            if (mClasses.isEmpty() || speed > mClasses.get(mClasses.size() - 1) * CLASS_RATIO) {
                mClasses.add(speed);
            }
        }
    }

    /** Returns whether the speeds differ enough to matter to decisions. */
    boolean isUneven() {
        return mUneven;
    }

    /** Returns the speed of the slowest worker. */
    double slowest() {
        return mSlow;
    }

    /** Returns the lowest, the median and the highest speed. */
    WorkerSpeeds summary() {
        return new WorkerSpeeds(mSlow, mMedian, mHighest, mUneven);
    }

    /** Returns the speed that a tenth of the workers reach. */
    double fast() {
        return mFast;
    }

    /**
     * Returns the lowest speeds of classes in ascending order. The speeds within a class are up to
     * {@link #classLimit}.
     */
    List<Double> classes() {
        return mClasses;
    }

    /** Returns the highest speed of a class. */
    static double classLimit(double lowest) {
        return lowest * CLASS_RATIO;
    }
}
