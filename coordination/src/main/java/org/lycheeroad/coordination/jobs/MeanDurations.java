package org.lycheeroad.coordination.jobs;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.StepPlan;

/** Expects a time between a task's estimate and the mean of its queue. */
final class MeanDurations implements DurationEstimates {
    /** The weight of one observation in the mean; about the last 20 tasks count. */
    private static final double WEIGHT = 0.05;

    /** Used for tasks without an estimate in a queue without a finished task. */
    private static final long UNKNOWN_MS = 5_000;

    private final Map<QueueName, Mean> mMeans = new HashMap<>();

    @Override
    public void onDone(QueueName queue, StepPlan step, long tookMs) {
        mMeans.computeIfAbsent(queue, k -> new Mean()).add((double) tookMs);
    }

    @Override
    public long expectedMs(QueueName queue, StepPlan step) {
        Mean mean = mMeans.get(queue);
        long estimate = step.estimateMs();
        if (mean == null) {
            return estimate > 0 ? estimate : UNKNOWN_MS;
        }
        if (estimate <= 0) {
            return Math.round(mean.mValue);
        }
        return Math.round(Math.sqrt(mean.mValue * estimate));
    }

    private static final class Mean {
        private double mValue;
        private boolean mStarted;

        void add(double observed) {
            mValue = mStarted ? mValue + WEIGHT * (observed - mValue) : observed;
            mStarted = true;
        }
    }
}
