package org.lycheeroad.benchmarks.jobs;

import java.util.List;
import org.lycheeroad.benchmarks.jobs.JobClass.Spread;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.Resources;

/**
 * Workers and the load that they meet.
 *
 * @param perRack the number of workers on a rack
 * @param guaranteedShare the share of all accelerators that is guaranteed to teams
 * @param speeds how fast workers are; one of them is drawn for each
 * @param loadFactor multiplies the arrivals
 */
record Deployment(
        String name,
        int workers,
        int perRack,
        Resources capacity,
        int teams,
        double guaranteedShare,
        long reclaimMs,
        long stopMs,
        long restoreMs,
        List<Double> speeds,
        List<JobClass> classes,
        double loadFactor) {
    /** Runs take this many times as long across racks. */
    static final double REMOTE_FACTOR = 3;

    private static final List<Integer> MIXED = List.of(1, 2, 4, 8, 8);
    private static final List<Integer> SINGLE = List.of(1);

    /** Short urgent gangs with poor estimates meet long gangs and wide bulk steps. */
    static Deployment shortGangs(double loadFactor) {
        return new Deployment(
                "short-gangs",
                33,
                8,
                new Resources(32_000, 131_072, 8),
                4,
                0.62,
                2_900,
                400,
                600,
                List.of(0.8, 1.0, 1.25),
                List.of(
                        new JobClass(
                                new QueueName("long"),
                                1,
                                3,
                                1_500,
                                0.53,
                                new Spread(4, 0.8),
                                new Spread(7_200, 0.3),
                                0.2,
                                MIXED,
                                13_000,
                                68_000,
                                true,
                                0.6,
                                0.45,
                                0.02,
                                3,
                                0.9),
                        new JobClass(
                                new QueueName("urgent"),
                                0,
                                1.5,
                                600,
                                1.48,
                                new Spread(3, 0.8),
                                new Spread(2_100, 0.5),
                                0.9,
                                MIXED,
                                3_700,
                                20_000,
                                true,
                                0.8,
                                0,
                                0.05,
                                4,
                                0.8),
                        new JobClass(
                                new QueueName("bulk"),
                                2,
                                3,
                                3_000,
                                0.52,
                                new Spread(12, 0.8),
                                new Spread(6_500, 0.3),
                                0.9,
                                SINGLE,
                                2_800,
                                11_000,
                                false,
                                0,
                                0.45,
                                0.02,
                                1,
                                0.3)),
                loadFactor);
    }

    /** Wide gangs of whole workers; estimates of bulk work are good, those of urgent work poor. */
    static Deployment wideGangs(double loadFactor) {
        return new Deployment(
                "wide-gangs",
                33,
                8,
                new Resources(128_000, 262_144, 8),
                4,
                0.62,
                2_700,
                200,
                250,
                List.of(1.0),
                List.of(
                        new JobClass(
                                new QueueName("long"),
                                1,
                                3,
                                1_500,
                                0.48,
                                new Spread(5, 0.8),
                                new Spread(5_800, 0.3),
                                0.2,
                                MIXED,
                                52_000,
                                140_000,
                                true,
                                0.6,
                                0.45,
                                0.05,
                                3,
                                0.3),
                        new JobClass(
                                new QueueName("urgent"),
                                0,
                                1.5,
                                600,
                                0.94,
                                new Spread(3.4, 0.8),
                                new Spread(2_100, 0.5),
                                0.9,
                                MIXED,
                                15_000,
                                31_000,
                                true,
                                0.8,
                                0,
                                0.01,
                                4,
                                0.8),
                        new JobClass(
                                new QueueName("bulk"),
                                2,
                                3,
                                3_000,
                                0.36,
                                new Spread(16, 0.8),
                                new Spread(6_500, 0.3),
                                0.2,
                                SINGLE,
                                11_000,
                                23_000,
                                false,
                                0,
                                0.45,
                                0.05,
                                1,
                                0.1)),
                loadFactor);
    }
}
