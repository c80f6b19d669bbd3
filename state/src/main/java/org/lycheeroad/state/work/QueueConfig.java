package org.lycheeroad.state.work;

/**
 * The configuration of a queue.
 *
 * @param host the host name that callers use
 * @param pathPrefix the start of the paths that callers use
 * @param priority 0 comes first
 * @param maxAttempts how often a task may fail
 * @param slackFactor the multiple of a job's longest chain of work that is still in time
 * @param targetLatencyMs the time that a job may take beyond that, in milliseconds
 * @param anonymous whether callers need no key
 * @param advice how the queue's placement policy answers, or null if it has none
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
    /**
     * How a placement policy answers.
     *
     * @param decideMs the time of a call in milliseconds
     * @param perWorkerMs the time for each worker that the call names, in milliseconds
     * @param validMs how long a ticket is valid, in milliseconds
     */
    public record AdviceTiming(long decideMs, long perWorkerMs, long validMs) {}
}
