package org.lycheeroad.benchmarks.jobs;

import java.util.List;
import org.lycheeroad.state.work.QueueName;

/**
 * A class of jobs with the same queue and the same distributions of size and duration.
 *
 * @param slackFactor the latency objective is this factor times the task duration plus
 *     targetLatencyMs
 * @param targetLatencyMs the constant part of the latency objective
 * @param arrivalsPerSecond the mean arrival rate in jobs per second
 * @param stepWidth the distribution of the number of tasks in a step
 * @param taskDurationMs the distribution of the duration of a task
 * @param estimateSigma the standard deviation of the logarithm of the ratio of the callers'
 *     estimate to the real duration
 * @param acceleratorChoices the numbers of accelerators per task, from which one is drawn with
 *     equal probability
 * @param gang whether the tasks of a step are gang-scheduled
 * @param rackLocalFraction the fraction of gangs that are slow unless they run in one rack
 * @param checkpointingFraction the fraction of jobs that write checkpoints
 * @param failingFraction the fraction of jobs whose first run fails
 * @param value what a job of mean size earns if it ends within its latency objective
 * @param lateValueFactor the fraction of the value that a job earns if it ends late
 */
record JobClass(
        QueueName queue,
        int priority,
        double slackFactor,
        long targetLatencyMs,
        double arrivalsPerSecond,
        LogNormal stepWidth,
        LogNormal taskDurationMs,
        double estimateSigma,
        List<Integer> acceleratorChoices,
        int cpuMillis,
        int memoryMb,
        boolean gang,
        double rackLocalFraction,
        double checkpointingFraction,
        double failingFraction,
        double value,
        double lateValueFactor) {
    /**
     * A log-normal distribution.
     *
     * @param sigma the standard deviation of the logarithm
     */
    record LogNormal(double mean, double sigma) {}
}
