package org.lycheeroad.coordination.jobs;

import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.StepPlan;

/** Estimates task durations from the callers' estimates and from completed tasks. */
interface DurationEstimator {
    /**
     * Records the duration, at the nominal speed, of a first run that succeeded without a remote
     * placement.
     */
    void recordDuration(QueueName queue, StepPlan step, long durationMs);

    /** Returns the expected duration of a task at the nominal speed, in milliseconds. */
    long expectedMs(QueueName queue, StepPlan step);
}
