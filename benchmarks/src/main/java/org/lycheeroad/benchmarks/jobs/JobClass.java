package org.lycheeroad.benchmarks.jobs;

import java.util.List;
import org.lycheeroad.state.work.QueueName;

/**
 * A kind of job that callers hand in.
 *
 * @param perSecond the mean number of jobs a second
 * @param width the mean number of tasks of a step, and the spread of its logarithm
 * @param workMs the mean duration of a task, and the spread of its logarithm
 * @param estimateSpread the spread of the logarithm of the callers' estimates
 * @param accelerators how many accelerators a task uses; one of them is drawn
 * @param gangs whether the tasks of a step form a gang
 * @param rackShare the share of gangs that are slow unless they run on one rack
 * @param savesShare the share of jobs that save their progress
 * @param failShare the share of runs that fail
 * @param worth what a mean job earns when it ends in time
 * @param lateWorth what it earns when it ends late
 */
record JobClass(
        QueueName queue,
        int priority,
        double slackFactor,
        long targetLatencyMs,
        double perSecond,
        Spread width,
        Spread workMs,
        double estimateSpread,
        List<Integer> accelerators,
        int cpuMillis,
        int memoryMb,
        boolean gangs,
        double rackShare,
        double savesShare,
        double failShare,
        double worth,
        double lateWorth) {
    /** A mean and the standard deviation of the logarithm. */
    record Spread(double mean, double sigma) {}
}
