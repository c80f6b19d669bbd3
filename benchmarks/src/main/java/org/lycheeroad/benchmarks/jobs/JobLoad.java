package org.lycheeroad.benchmarks.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.lycheeroad.benchmarks.jobs.JobClass.Spread;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.StepPlan;

/** Draws the jobs of a day: a wave of arrivals, with long tails of width and duration. */
final class JobLoad {
    private static final double SWING = 0.55;
    private static final double PERIOD_S = 13;

    /** A few jobs are far longer than the others. */
    private static final double TAIL_SHARE = 0.03;

    private static final double TAIL_FACTOR = 7;

    /** The widest step in relation to the mean. */
    private static final double MOST_WIDTH = 6;

    private final Random mRandom;
    private final Deployment mDeployment;

    JobLoad(Deployment deployment, long seed) {
        mDeployment = deployment;
        mRandom = new Random(seed);
    }

    /** Returns the jobs of a day in the order of their arrival. */
    List<ModelJob> draw(long lengthMs) {
        List<ModelJob> jobs = new ArrayList<>();
        for (JobClass kind : mDeployment.classes()) {
            double peak = kind.perSecond() * mDeployment.loadFactor() * (1 + SWING);
            double at = 0;
            while (true) {
                at += -Math.log(1 - mRandom.nextDouble()) / peak;
                if (at * 1_000 >= lengthMs) {
                    break;
                }
                double wave = 1 + SWING * Math.sin(2 * Math.PI * at / PERIOD_S);
                if (mRandom.nextDouble() < wave / (1 + SWING)) {
                    jobs.add(job(kind, jobs.size(), Math.round(at * 1_000)));
                }
            }
        }
        jobs.sort(Comparator.comparingLong(j -> j.arrivesAt));
        return jobs;
    }

    private ModelJob job(JobClass kind, int number, long at) {
        double width = Math.min(draw(kind.width()), MOST_WIDTH * kind.width().mean());
        int count = (int) Math.max(1, Math.round(width));
        double work = draw(kind.workMs());
        if (mRandom.nextDouble() < TAIL_SHARE) {
            work *= TAIL_FACTOR;
        }
        double estimate = work * Math.exp(kind.estimateSpread() * mRandom.nextGaussian());
        int accelerators = kind.accelerators().get(mRandom.nextInt(kind.accelerators().size()));
        boolean gang = kind.gangs() && count > 1;
        StepPlan step =
                new StepPlan(
                        count,
                        new Resources(kind.cpuMillis(), kind.memoryMb(), accelerators),
                        Math.max(1, Math.round(estimate)),
                        List.of(),
                        gang,
                        gang && mRandom.nextDouble() < kind.rackShare(),
                        "",
                        "",
                        0,
                        mRandom.nextDouble() < kind.savesShare(),
                        false,
                        false,
                        false,
                        0,
                        0,
                        "");
        TeamId team = new TeamId("team" + mRandom.nextInt(mDeployment.teams()));
        ModelJob job =
                new ModelJob(new JobId("j" + number), team, kind, step, Math.round(work), at);
        job.failuresLeft = mRandom.nextDouble() < kind.failShare() ? 1 : 0;
        return job;
    }

    /** Draws from a log-normal distribution with a given mean. */
    private double draw(Spread spread) {
        double sigma = spread.sigma();
        return spread.mean() * Math.exp(sigma * mRandom.nextGaussian() - sigma * sigma / 2);
    }
}
