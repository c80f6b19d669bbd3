package org.lycheeroad.benchmarks.jobs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.state.work.QueueName;

/** Accumulates how well the jobs of several simulated days were served. */
final class JobScore {
    /** A job that takes longer than this multiple of its latency objective earns nothing. */
    private static final int MAX_LATE_FACTOR = 3;

    /**
     * The maximum weight of a job. The weight grows linearly with the work of the job in relation
     * to the mean of its class, from {@link #BASE_WEIGHT} for no work to 1 for the mean.
     */
    private static final double MAX_WEIGHT = 4;

    private static final double BASE_WEIGHT = 0.3;

    private static final class Tally {
        private int mJobs;
        private int mInTime;
        private int mLate;
        private int mUnserved;
    }

    private final Map<QueueName, Tally> mTallies = new LinkedHashMap<>();
    private double mPossibleValue;
    private double mEarnedValue;
    private double mWastedCoreSeconds;
    private double mTotalCoreSeconds;
    private int mRemoteStarts;
    private int mStartedRuns;
    private int mStoppedRuns;
    private int mGuaranteedJobs;
    private int mLateGuarantees;

    void add(
            Deployment deployment,
            List<SimulatedJob> jobs,
            double wastedCoreSeconds,
            JobSimulation simulation) {
        mWastedCoreSeconds += wastedCoreSeconds;
        mRemoteStarts += simulation.remoteStarts();
        mStartedRuns += simulation.startedRuns();
        mStoppedRuns += simulation.stoppedRuns();
        for (JobClass jobClass : deployment.jobClasses()) {
            List<SimulatedJob> classJobs =
                    jobs.stream().filter(j -> j.jobClass.equals(jobClass)).toList();
            double meanCoreSeconds =
                    classJobs.stream().mapToDouble(SimulatedJob::coreSeconds).average().orElse(1);
            classJobs.forEach(job -> add(job, job.coreSeconds() / meanCoreSeconds));
        }
        for (SimulatedJob job : jobs) {
            if (job.withinGuarantee) {
                mGuaranteedJobs++;
                long waitedMs = job.allBegunAtMs - job.arrivesAtMs;
                boolean late = job.allBegunAtMs < 0 || waitedMs > deployment.reclaimMs();
                mLateGuarantees += late ? 1 : 0;
            }
        }
    }

    private void add(SimulatedJob job, double relativeSize) {
        Tally tally = mTallies.computeIfAbsent(job.jobClass.queue(), k -> new Tally());
        double weight = Math.min(MAX_WEIGHT, BASE_WEIGHT + (1 - BASE_WEIGHT) * relativeSize);
        long tookMs = job.endedAtMs < 0 ? Long.MAX_VALUE : job.endedAtMs - job.arrivesAtMs;
        tally.mJobs++;
        mTotalCoreSeconds += job.coreSeconds();
        mPossibleValue += weight * job.jobClass.value();
        if (tookMs <= job.latencyObjectiveMs()) {
            tally.mInTime++;
            mEarnedValue += weight * job.jobClass.value();
        } else if (tookMs <= MAX_LATE_FACTOR * job.latencyObjectiveMs()) {
            tally.mLate++;
            mEarnedValue += weight * job.jobClass.lateValueFactor() * job.jobClass.value();
        } else {
            tally.mUnserved++;
        }
    }

    /** Returns the earned value as a fraction of the value that all jobs could earn. */
    double earnedFraction() {
        return mEarnedValue / mPossibleValue;
    }

    /** Returns one line of the result table. */
    String formatLine(String name) {
        StringBuilder line = new StringBuilder();
        line.append(
                String.format(
                        "%-34s earned %.4f wasted %.3f stopped %d/%d remote %4d"
                                + " late guarantees %d/%d",
                        name,
                        earnedFraction(),
                        mWastedCoreSeconds / mTotalCoreSeconds,
                        mStoppedRuns,
                        mStartedRuns,
                        mRemoteStarts,
                        mLateGuarantees,
                        mGuaranteedJobs));
        mTallies.forEach(
                (queue, tally) ->
                        line.append(
                                String.format(
                                        " | %s %d: in time %.3f late %.3f unserved %.4f",
                                        queue,
                                        tally.mJobs,
                                        (double) tally.mInTime / tally.mJobs,
                                        (double) tally.mLate / tally.mJobs,
                                        (double) tally.mUnserved / tally.mJobs)));
        return line.toString();
    }
}
