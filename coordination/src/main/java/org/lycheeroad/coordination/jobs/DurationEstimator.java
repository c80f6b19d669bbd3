package org.lycheeroad.coordination.jobs;

import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.StepPlan;

/** Expects how long tasks take, from their callers' estimates and from tasks that have ended. */
interface DurationEstimator {
    /** Notes how long a task ran on a sound worker near its data. */
    void recordDuration(QueueName queue, StepPlan step, long durationMs);

    /** Returns the expected time of a task in milliseconds. */
    long expectedMs(QueueName queue, StepPlan step);
}
