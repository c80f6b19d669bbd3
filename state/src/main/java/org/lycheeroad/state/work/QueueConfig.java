package org.lycheeroad.state.work;

/**
 * The configuration of a queue.
 *
 * @param host the host name in the URLs of the queue
 * @param pathPrefix the path prefix in the URLs of the queue
 * @param priority the scheduling priority; 0 is the highest
 * @param maxAttempts the number of failed runs of a task after which its job fails
 * @param slackFactor the latency target of a job as a multiple of its critical path
 * @param targetLatencyMs a fixed allowance added to that target, in milliseconds
 * @param anonymous whether callers may submit jobs without an API key
 * @param advice the timing of the queue's placement policy, or null if the queue has no policy
 */
public record QueueConfig(
        QueueName name,
        String host,
        String pathPrefix,
        ServiceName service,
        int priority,
        int maxAttempts,
        double slackFactor,
        long targetLatencyMs,
        boolean anonymous,
        AdviceTiming advice) {
    /** Returns what the scheduler needs to know of the queue. */
    public QueueSettings settings() {
        return new QueueSettings(
                service, priority, maxAttempts, slackFactor, targetLatencyMs, advice);
    }

    /**
     * The timing of a placement policy.
     *
     * @param decideMs the time that a call takes, in milliseconds
     * @param perWorkerMs the additional time for each worker in the call, in milliseconds
     * @param validMs how long a ticket is valid, in milliseconds
     */
    public record AdviceTiming(long decideMs, long perWorkerMs, long validMs) {}
}
