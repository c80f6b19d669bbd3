package org.lycheeroad.state.work;

import org.lycheeroad.state.work.QueueConfig.AdviceTiming;

/**
 * What the scheduler needs to know of a job's queue.
 *
 * <p>Stored with each accepted job, so the names of the components are part of the stored format.
 *
 * @param priority the scheduling priority; 0 is the highest
 * @param maxAttempts the number of failed runs of a task after which its job fails
 * @param slackFactor the latency target of a job as a multiple of its critical path
 * @param targetLatencyMs a fixed allowance added to that target, in milliseconds
 * @param advice the timing of the queue's placement policy, or null if the queue has no policy
 */
public record QueueSettings(
        ServiceName service,
        int priority,
        int maxAttempts,
        double slackFactor,
        long targetLatencyMs,
        AdviceTiming advice) {
    /**
     * The settings of jobs whose queue is unknown: no worker belongs to their service, and no
     * number of failures ends them.
     */
    public static final QueueSettings UNKNOWN =
            new QueueSettings(
                    new ServiceName(""), Integer.MAX_VALUE, Integer.MAX_VALUE, 1, 0, null);
}
