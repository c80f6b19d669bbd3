package org.lycheeroad.benchmarks.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.lycheeroad.benchmarks.jobs.JobClass.LogNormal;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.StepPlan;

/**
 * Generates the jobs of a simulated day.
 *
 * <p>The arrival rate follows a sine wave; step widths and task durations are log-normal.
 */
final class JobGenerator {
    private static final double ARRIVAL_AMPLITUDE = 0.55;
    private static final double ARRIVAL_PERIOD_S = 13;

    /** The fraction of jobs whose tasks take {@link #LONG_JOB_FACTOR} times as long. */
    private static final double LONG_JOB_FRACTION = 0.03;

    private static final double LONG_JOB_FACTOR = 7;

    /** The maximum step width as a multiple of the mean width. */
    private static final double MAX_WIDTH_FACTOR = 6;

    private final Random mRandom;
    private final Deployment mDeployment;

    JobGenerator(Deployment deployment, long seed) {
        mDeployment = deployment;
        mRandom = new Random(seed);
    }

    /** Returns the jobs of a day in arrival order. */
    List<SimulatedJob> generate(long durationMs) {
        List<SimulatedJob> jobs = new ArrayList<>();
        for (JobClass jobClass : mDeployment.jobClasses()) {
            double peakRate =
                    jobClass.arrivalsPerSecond()
                            * mDeployment.loadFactor()
                            * (1 + ARRIVAL_AMPLITUDE);
            double atSeconds = 0;
            while (true) {
                atSeconds += -Math.log(1 - mRandom.nextDouble()) / peakRate;
                if (atSeconds * 1_000 >= durationMs) {
                    break;
                }
                double relativeRate =
                        1
                                + ARRIVAL_AMPLITUDE
                                        * Math.sin(2 * Math.PI * atSeconds / ARRIVAL_PERIOD_S);
                if (mRandom.nextDouble() < relativeRate / (1 + ARRIVAL_AMPLITUDE)) {
                    jobs.add(createJob(jobClass, jobs.size(), Math.round(atSeconds * 1_000)));
                }
            }
        }
        jobs.sort(Comparator.comparingLong(j -> j.arrivesAtMs));
        return jobs;
    }

    private SimulatedJob createJob(JobClass jobClass, int number, long arrivesAtMs) {
        double width =
                Math.min(
                        generate(jobClass.stepWidth()),
                        MAX_WIDTH_FACTOR * jobClass.stepWidth().mean());
        int count = (int) Math.max(1, Math.round(width));
        double durationMs = generate(jobClass.taskDurationMs());
        if (mRandom.nextDouble() < LONG_JOB_FRACTION) {
            durationMs *= LONG_JOB_FACTOR;
        }
        double estimateMs =
                durationMs * Math.exp(jobClass.estimateSigma() * mRandom.nextGaussian());
        int accelerators =
                jobClass.acceleratorChoices()
                        .get(mRandom.nextInt(jobClass.acceleratorChoices().size()));
        boolean gang = jobClass.gang() && count > 1;
        StepPlan step =
                new StepPlan(
                        count,
                        new Resources(jobClass.cpuMillis(), jobClass.memoryMb(), accelerators),
                        Math.max(1, Math.round(estimateMs)),
                        List.of(),
                        gang,
                        gang && mRandom.nextDouble() < jobClass.rackLocalFraction(),
                        "",
                        "",
                        0,
                        mRandom.nextDouble() < jobClass.checkpointingFraction(),
                        false,
                        false,
                        false,
                        0,
                        0,
                        "");
        TeamId team = new TeamId("team" + mRandom.nextInt(mDeployment.teams()));
        SimulatedJob job =
                new SimulatedJob(
                        new JobId("j" + number),
                        team,
                        jobClass,
                        step,
                        Math.round(durationMs),
                        arrivesAtMs);
        job.failuresLeft = mRandom.nextDouble() < jobClass.failingFraction() ? 1 : 0;
        return job;
    }

    /** Generates a value with a log-normal distribution. */
    private double generate(LogNormal distribution) {
        double sigma = distribution.sigma();
        return distribution.mean() * Math.exp(sigma * mRandom.nextGaussian() - sigma * sigma / 2);
    }
}
