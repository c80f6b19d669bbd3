package org.lycheeroad.benchmarks.jobs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.state.work.QueueName;

/** What the callers of some days got. */
final class JobScore {
    /** A job that takes longer than this many objectives is of no use. */
    private static final int LATE_FACTOR = 3;

    /** A job counts by its work against the mean of its kind, at most this many times. */
    private static final double MOST_WEIGHT = 4;

    private static final double BASE_WEIGHT = 0.3;

    private static final class Tally {
        private int mJobs;
        private int mInTime;
        private int mLate;
        private int mUnserved;
    }

    private final Map<QueueName, Tally> mTallies = new LinkedHashMap<>();
    private double mOwed;
    private double mEarned;
    private double mWasted;
    private double mWork;
    private int mRemoteStarts;
    private int mGuaranteed;
    private int mLateGuarantees;

    void add(Deployment deployment, List<ModelJob> jobs, double wasted, int remoteStarts) {
        mWasted += wasted;
        mRemoteStarts += remoteStarts;
        for (JobClass kind : deployment.classes()) {
            List<ModelJob> own = jobs.stream().filter(j -> j.kind.equals(kind)).toList();
            double mean = own.stream().mapToDouble(ModelJob::work).average().orElse(1);
            own.forEach(job -> add(job, job.work() / mean));
        }
        for (ModelJob job : jobs) {
            if (job.guaranteed) {
                mGuaranteed++;
                long waited = job.allBegunAt - job.arrivesAt;
                boolean late = job.allBegunAt < 0 || waited > deployment.reclaimMs();
                mLateGuarantees += late ? 1 : 0;
            }
        }
    }

    private void add(ModelJob job, double size) {
        Tally tally = mTallies.computeIfAbsent(job.kind.queue(), k -> new Tally());
        double weight = Math.min(MOST_WEIGHT, BASE_WEIGHT + (1 - BASE_WEIGHT) * size);
        long took = job.endedAt < 0 ? Long.MAX_VALUE : job.endedAt - job.arrivesAt;
        tally.mJobs++;
        mWork += job.work();
        mOwed += weight * job.kind.worth();
        if (took <= job.objectiveMs()) {
            tally.mInTime++;
            mEarned += weight * job.kind.worth();
        } else if (took <= LATE_FACTOR * job.objectiveMs()) {
            tally.mLate++;
            mEarned += weight * job.kind.lateWorth() * job.kind.worth();
        } else {
            tally.mUnserved++;
        }
    }

    /** Returns the share of what all jobs could earn. */
    double earned() {
        return mEarned / mOwed;
    }

    /** Returns one line of a table. */
    String line(String name) {
        StringBuilder line = new StringBuilder();
        line.append(
                String.format(
                        "%-34s earned %.4f wasted %.3f remote %4d late guarantees %d/%d",
                        name,
                        earned(),
                        mWasted / mWork,
                        mRemoteStarts,
                        mLateGuarantees,
                        mGuaranteed));
        mTallies.forEach(
                (queue, t) ->
                        line.append(
                                String.format(
                                        " | %s %d: in time %.3f late %.3f unserved %.4f",
                                        queue,
                                        t.mJobs,
                                        (double) t.mInTime / t.mJobs,
                                        (double) t.mLate / t.mJobs,
                                        (double) t.mUnserved / t.mJobs)));
        return line.toString();
    }
}
