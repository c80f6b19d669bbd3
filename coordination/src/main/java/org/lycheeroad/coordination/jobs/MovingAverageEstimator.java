package org.lycheeroad.coordination.jobs;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.StepPlan;

/** Expects the geometric mean of a task's estimate and the moving average of its queue. */
final class MovingAverageEstimator implements DurationEstimator {
    /** The weight of one observation in the average; about the last 20 tasks count. */
    private static final double WEIGHT = 0.05;

    /** The expected duration of a task without an estimate in a queue without observations. */
    private static final long DEFAULT_MS = 5_000;

    private final Map<QueueName, MovingAverage> mAverages = new HashMap<>();

    @Override
    public void recordDuration(QueueName queue, StepPlan step, long durationMs) {
        mAverages.computeIfAbsent(queue, k -> new MovingAverage()).add((double) durationMs);
    }

    @Override
    public long expectedMs(QueueName queue, StepPlan step) {
        MovingAverage average = mAverages.get(queue);
        long estimateMs = step.estimateMs();
        if (average == null) {
            return estimateMs > 0 ? estimateMs : DEFAULT_MS;
        }
        if (estimateMs <= 0) {
            return Math.round(average.mValue);
        }
        return Math.round(Math.sqrt(average.mValue * estimateMs));
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
