package org.lycheeroad.coordination.jobs;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.StepPlan;

/** Expects a time between a task's estimate and the mean of its queue. */
final class MovingAverageEstimator implements DurationEstimator {
    /** The weight of one observation in the mean; about the last 20 tasks count. */
    private static final double WEIGHT = 0.05;

    /** Used for tasks without an estimate in a queue without a finished task. */
    private static final long DEFAULT_MS = 5_000;

    private final Map<QueueName, MovingAverage> mAverages = new HashMap<>();

    @Override
    public void recordDuration(QueueName queue, StepPlan step, long durationMs) {
        mAverages.computeIfAbsent(queue, k -> new MovingAverage()).add((double) durationMs);
    }

    @Override
    public long expectedMs(QueueName queue, StepPlan step) {
        MovingAverage mean = mAverages.get(queue);
        long estimate = step.estimateMs();
        if (mean == null) {
            return estimate > 0 ? estimate : DEFAULT_MS;
        }
        if (estimate <= 0) {
            return Math.round(mean.mValue);
        }
        return Math.round(Math.sqrt(mean.mValue * estimate));
    }

    private static final class MovingAverage {
        private double mValue;
        private boolean mHasValue;

        void add(double observed) {
            mValue = mHasValue ? mValue + WEIGHT * (observed - mValue) : observed;
            mHasValue = true;
        }
    }
}
