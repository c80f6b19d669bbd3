package org.lycheeroad.benchmarks.jobs;

import java.util.List;
import org.lycheeroad.benchmarks.jobs.JobClass.LogNormal;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.Resources;

/**
 * A simulated cluster and its load.
 *
 * @param workersPerRack the number of workers in a rack
 * @param guaranteedFraction the fraction of all accelerators that is guaranteed to teams; the teams
 *     have equal shares of it
 * @param reclaimMs the time within which an urgent job within its guarantee must start
 * @param stopDelayMs how long a run takes to stop after the worker received the stop order
 * @param restoreMs how long a run takes to restore a checkpoint
 * @param speedChoices the speeds from which the speed of each worker is drawn with equal
 *     probability; 1 is the nominal speed
 * @param loadFactor a multiplier for the arrival rates of all job classes
 */
record Deployment(
        String name,
        int workers,
        int workersPerRack,
        Resources capacity,
        int teams,
        double guaranteedFraction,
        long reclaimMs,
        long stopDelayMs,
        long restoreMs,
        List<Double> speedChoices,
        List<JobClass> jobClasses,
        double loadFactor) {
    /** How many times longer a rack-local job takes if its tasks span racks. */
    static final double REMOTE_FACTOR = 3;

    private static final List<Integer> MIXED_ACCELERATORS = List.of(1, 2, 4, 8, 8);
    private static final List<Integer> SINGLE_ACCELERATOR = List.of(1);

    /** Short urgent gangs with inaccurate estimates compete with long gangs and wide bulk steps. */
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
                                new LogNormal(4, 0.8),
                                new LogNormal(7_200, 0.3),
                                0.2,
                                MIXED_ACCELERATORS,
                                13_000,
                                68_000,
                                true,
                                0.6,
                                0.45,
                                0.02,
                                3,
                                0.3),
                        new JobClass(
                                new QueueName("urgent"),
                                0,
                                1.5,
                                600,
                                1.48,
                                new LogNormal(3, 0.8),
                                new LogNormal(2_100, 0.5),
                                0.9,
                                MIXED_ACCELERATORS,
                                3_700,
                                20_000,
                                true,
                                0.8,
                                0,
                                0.05,
                                4,
                                0.2),
                        new JobClass(
                                new QueueName("bulk"),
                                2,
                                3,
                                3_000,
                                0.52,
                                new LogNormal(12, 0.8),
                                new LogNormal(6_500, 0.3),
                                0.9,
                                SINGLE_ACCELERATOR,
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

    /**
     * Wide gangs whose tasks often need all accelerators of a worker. Estimates are accurate for
     * bulk jobs and inaccurate for urgent jobs.
     */
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
                                new LogNormal(5, 0.8),
                                new LogNormal(5_800, 0.3),
                                0.2,
                                MIXED_ACCELERATORS,
                                52_000,
                                140_000,
                                true,
                                0.6,
                                0.45,
                                0.05,
                                3,
                                0.1),
                        new JobClass(
                                new QueueName("urgent"),
                                0,
                                1.5,
                                600,
                                0.94,
                                new LogNormal(3.4, 0.8),
                                new LogNormal(2_100, 0.5),
                                0.9,
                                MIXED_ACCELERATORS,
                                15_000,
                                31_000,
                                true,
                                0.8,
                                0,
                                0.01,
                                4,
                                0.2),
                        new JobClass(
                                new QueueName("bulk"),
                                2,
                                3,
                                3_000,
                                0.36,
                                new LogNormal(16, 0.8),
                                new LogNormal(6_500, 0.3),
                                0.2,
                                SINGLE_ACCELERATOR,
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

    /**
     * Callers compete for too little room: wide gangs whose tasks take half of a worker's memory,
     * many short urgent gangs and wide bulk steps, on workers of which a quarter is fast.
     */
    static Deployment contended(double loadFactor) {
        return new Deployment(
                "contended",
                80,
                20,
                new Resources(128_000, 524_288, 8),
                10,
                0.62,
                3_400,
                900,
                250,
                List.of(1.82, 0.83, 0.83, 0.83),
                List.of(
                        new JobClass(
                                new QueueName("long"),
                                1,
                                3,
                                1_500,
                                0.43,
                                new LogNormal(13, 0.8),
                                new LogNormal(7_200, 0.3),
                                0.5,
                                MIXED_ACCELERATORS,
                                52_000,
                                270_000,
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
                                2.3,
                                new LogNormal(5.4, 0.8),
                                new LogNormal(2_100, 0.5),
                                0.2,
                                MIXED_ACCELERATORS,
                                15_000,
                                61_000,
                                true,
                                0.8,
                                0,
                                0.01,
                                4,
                                0.2),
                        new JobClass(
                                new QueueName("bulk"),
                                2,
                                3,
                                3_000,
                                0.33,
                                new LogNormal(39, 0.8),
                                new LogNormal(8_100, 0.3),
                                0.2,
                                SINGLE_ACCELERATOR,
                                11_000,
                                33_000,
                                false,
                                0,
                                0.45,
                                0.01,
                                1,
                                0.3)),
                loadFactor);
    }

    /** Wide bulk steps use most of the accelerators, on workers of three speeds. */
    static Deployment uneven(double loadFactor) {
        return new Deployment(
                "uneven",
                80,
                20,
                new Resources(64_000, 131_072, 8),
                10,
                0.62,
                3_400,
                900,
                250,
                List.of(1.0, 1.0, 1.3),
                List.of(
                        new JobClass(
                                new QueueName("long"),
                                1,
                                3,
                                1_500,
                                0.42,
                                new LogNormal(13, 0.8),
                                new LogNormal(8_500, 0.3),
                                0.5,
                                MIXED_ACCELERATORS,
                                26_000,
                                68_000,
                                true,
                                0.6,
                                0.45,
                                0.05,
                                3,
                                0.5),
                        new JobClass(
                                new QueueName("urgent"),
                                0,
                                1.5,
                                600,
                                1.4,
                                new LogNormal(5, 0.8),
                                new LogNormal(2_500, 0.5),
                                0.2,
                                MIXED_ACCELERATORS,
                                7_500,
                                20_000,
                                true,
                                0.8,
                                0,
                                0.01,
                                4,
                                0.2),
                        new JobClass(
                                new QueueName("bulk"),
                                2,
                                3,
                                3_000,
                                0.41,
                                new LogNormal(39, 0.8),
                                new LogNormal(7_600, 0.3),
                                0.2,
                                SINGLE_ACCELERATOR,
                                5_600,
                                11_000,
                                false,
                                0,
                                0.45,
                                0.01,
                                1,
                                0.5)),
                loadFactor);
    }
}
