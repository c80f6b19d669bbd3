package org.lycheeroad.benchmarks;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.lycheeroad.coordination.placement.GangPlacementCore;
import org.lycheeroad.coordination.placement.PlacementEvent;
import org.lycheeroad.coordination.placement.PlacementSettings;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.shape.Shape;

/**
 * Compares the placement core with first-in, first-out first fit on the same simulated arrivals.
 *
 * <p>Jobs arrive in bursts. One job in 50 is a straggler with ten times the run time, and declared
 * run times differ from the real ones by a factor of up to ten in either direction. A reclaimed
 * gang resumes from its checkpoint.
 */
public final class PolicyComparison {
    private static final int WORKERS = 60;
    private static final int TEAMS = 4;
    private static final int JOBS = 400;
    private static final int LARGE_GANG_WORKERS = 16;
    private static final long STEP_MS = 1_000;
    // Short enough to compare start delays with the reclaim bound of 8.6 s.
    private static final long RECLAIM_STEP_MS = 200;
    private static final long RECLAIM_BOUND_MS = 8_600;
    private static final long PROBE_INTERVAL_MS = 120_000;
    private static final long PROBE_RUN_MS = 30_000;
    private static final TeamId PROBE_TEAM = new TeamId("team" + TEAMS);
    private static final long SIMULATION_LIMIT_MS = 40_000_000;
    private static final List<String> SHAPES =
            List.of(
                    "1x1@worker",
                    "1x1@worker",
                    "1x1@worker",
                    "2x1@any",
                    "1x4@worker",
                    "4x1@any",
                    "1x8@worker",
                    "16x1@any",
                    "32x1@any");

    private record Arrival(long atMs, JobSpec spec, long runMs) {}

    private record End(long atMs, JobId job) {}

    /** The start and end times of each job, and the idle capacity during the run. */
    private record Outcome(Map<JobId, long[]> timesByJob, IdleCapacity idleCapacity) {}

    private PolicyComparison() {}

    /** Runs the comparison; arguments: the seeds (default 1, 2 and 3). */
    public static void main(String[] args) {
        List<Long> seeds = new ArrayList<>();
        for (String arg : args) {
            seeds.add(Long.parseLong(arg));
        }
        for (long seed : seeds.isEmpty() ? List.of(1L, 2L, 3L) : seeds) {
            List<Arrival> arrivals = arrivals(seed);
            reportRunTimes(seed, arrivals);
            report("seed " + seed + " core", arrivals, runCore(arrivals, TEAMS, STEP_MS));
            report("seed " + seed + " first fit", arrivals, runFirstFit(arrivals, TEAMS));
            List<Arrival> probed = addProbeJobs(arrivals);
            reportReclaims(
                    "seed " + seed + " core", probed, runCore(probed, TEAMS + 1, RECLAIM_STEP_MS));
            reportReclaims("seed " + seed + " first fit", probed, runFirstFit(probed, TEAMS + 1));
        }
    }

    /**
     * Adds a team that submits only gangs of its guaranteed shape, alternately urgent and not.
     *
     * <p>Each of its gangs ends before the next one arrives, so each is within the guarantee.
     */
    private static List<Arrival> addProbeJobs(List<Arrival> arrivals) {
        List<Arrival> all = new ArrayList<>(arrivals);
        long lastArrivalMs = arrivals.get(arrivals.size() - 1).atMs();
        int count = 0;
        for (long atMs = PROBE_INTERVAL_MS; atMs < lastArrivalMs; atMs += PROBE_INTERVAL_MS) {
            JobSpec spec =
                    new JobSpec(
                            new JobId("owner" + count),
                            PROBE_TEAM,
                            new KindId("render"),
                            SimulatedRegion.REGION,
                            Shape.parse("1x8@worker"),
                            count++ % 2 == 0,
                            PROBE_RUN_MS,
                            "");
            all.add(new Arrival(atMs, spec, PROBE_RUN_MS));
        }
        all.sort(Comparator.comparingLong(Arrival::atMs));
        return all;
    }

    private static List<Arrival> arrivals(long seed) {
        Random random = new Random(seed);
        List<Arrival> arrivals = new ArrayList<>();
        long atMs = 2_000;
        for (int i = 0; i < JOBS; i++) {
            // A burst of about 20 jobs, then a pause.
            atMs += random.nextInt(20) == 0 ? 400_000 : random.nextInt(4_000);
            long runMs = 20_000 + (long) (random.nextDouble() * 200_000);
            if (random.nextInt(50) == 0) {
                runMs *= 10;
            }
            double estimateFactor = Math.pow(10, 2 * random.nextDouble() - 1);
            JobSpec spec =
                    new JobSpec(
                            new JobId("j" + i),
                            new TeamId("team" + random.nextInt(TEAMS)),
                            new KindId("kind" + random.nextInt(3)),
                            SimulatedRegion.REGION,
                            Shape.parse(SHAPES.get(random.nextInt(SHAPES.size()))),
                            false,
                            (long) (runMs * estimateFactor),
                            "");
            arrivals.add(new Arrival(atMs, spec, runMs));
        }
        return arrivals;
    }

    private static Outcome runCore(List<Arrival> arrivals, int teams, long stepMs) {
        SimulatedRegion region = region(teams);
        IdleCapacity idleCapacity =
                new IdleCapacity(region.mWorkers, arrivals.get(arrivals.size() - 1).atMs());
        Map<JobId, long[]> times = new HashMap<>();
        Map<JobId, Long> runningSince = new HashMap<>();
        Map<JobId, Long> checkpointedMs = new HashMap<>();
        int nextArrival = 0;
        int ended = 0;
        while (ended < arrivals.size()) {
            region.mNowMs += stepMs;
            if (region.mNowMs > SIMULATION_LIMIT_MS) {
                throw new IllegalStateException(
                        "jobs did not end within the simulated time limit: " + region.mJobStates);
            }
            while (nextArrival < arrivals.size()
                    && arrivals.get(nextArrival).atMs() <= region.mNowMs) {
                JobSpec spec = arrivals.get(nextArrival++).spec();
                idleCapacity.recordArrival(spec, region.idleAccelerators());
                region.submit(spec);
            }
            for (int i = 0; i < nextArrival; i++) {
                Arrival arrival = arrivals.get(i);
                JobId job = arrival.spec().id();
                JobState state = region.mJobStates.get(job);
                if (state == JobState.RUNNING) {
                    long runningSinceMs = runningSince.computeIfAbsent(job, j -> region.mNowMs);
                    times.computeIfAbsent(job, j -> new long[] {region.mNowMs, 0});
                    if (region.mNowMs - runningSinceMs + checkpointedMs.getOrDefault(job, 0L)
                            >= arrival.runMs()) {
                        region.finish(job);
                        runningSince.remove(job);
                        times.get(job)[1] = region.mNowMs;
                        ended++;
                    }
                } else if (runningSince.containsKey(job)) {
                    checkpointedMs.merge(job, region.mNowMs - runningSince.remove(job), Long::sum);
                }
            }
            region.reportAll();
            region.handle(new PlacementEvent.Tick());
            List<Shape> waiting = new ArrayList<>();
            for (Arrival arrival : arrivals.subList(0, nextArrival)) {
                if (region.mJobStates.get(arrival.spec().id()) == JobState.QUEUED) {
                    waiting.add(arrival.spec().shape());
                }
            }
            idleCapacity.sample(region.mNowMs, region.idleAccelerators(), waiting);
        }
        return new Outcome(times, idleCapacity);
    }

    private static SimulatedRegion region(int teams) {
        return new SimulatedRegion(
                new GangPlacementCore(PlacementSettings.defaults(SimulatedRegion.REGION)),
                WORKERS,
                teams);
    }

    private static Outcome runFirstFit(List<Arrival> arrivals, int teams) {
        SimulatedRegion region = region(teams);
        FirstFitScheduler policy = new FirstFitScheduler(region.idleAccelerators());
        IdleCapacity idleCapacity =
                new IdleCapacity(region.mWorkers, arrivals.get(arrivals.size() - 1).atMs());
        Map<JobId, Long> runMsByJob = new HashMap<>();
        arrivals.forEach(arrival -> runMsByJob.put(arrival.spec().id(), arrival.runMs()));
        PriorityQueue<End> endQueue = new PriorityQueue<>(Comparator.comparingLong(End::atMs));
        Map<JobId, long[]> times = new HashMap<>();
        int nextArrival = 0;
        while (nextArrival < arrivals.size() || !endQueue.isEmpty()) {
            boolean arrives =
                    nextArrival < arrivals.size()
                            && (endQueue.isEmpty()
                                    || arrivals.get(nextArrival).atMs() <= endQueue.peek().atMs());
            long nowMs = arrives ? arrivals.get(nextArrival).atMs() : endQueue.peek().atMs();
            // Idle capacity has not changed since the previous event.
            idleCapacity.sample(nowMs, policy.idleAccelerators(), policy.waitingShapes());
            if (arrives) {
                idleCapacity.recordArrival(
                        arrivals.get(nextArrival).spec(), policy.idleAccelerators());
            }
            List<JobId> started =
                    arrives
                            ? policy.submit(arrivals.get(nextArrival++).spec())
                            : policy.finish(endQueue.remove().job());
            for (JobId job : started) {
                times.put(job, new long[] {nowMs, nowMs + runMsByJob.get(job)});
                endQueue.add(new End(nowMs + runMsByJob.get(job), job));
            }
        }
        return new Outcome(times, idleCapacity);
    }

    /** Prints the run times alone, a lower bound for the completion times of every policy. */
    private static void reportRunTimes(long seed, List<Arrival> arrivals) {
        List<Long> runs =
                arrivals.stream().filter(PolicyComparison::isLarge).map(Arrival::runMs).toList();
        System.out.printf(
                "seed %d: %d gangs of 16+, run time alone s: p99 %d, second longest %d%n",
                seed,
                runs.size(),
                percentile(runs, 0.99) / 1_000,
                runs.stream().sorted().toList().get(runs.size() - 2) / 1_000);
    }

    private static void report(String name, List<Arrival> arrivals, Outcome outcome) {
        List<Long> all = new ArrayList<>();
        List<Long> large = new ArrayList<>();
        List<Long> small = new ArrayList<>();
        long longestWait = 0;
        long longestSmallWait = 0;
        for (Arrival arrival : arrivals) {
            long[] time = outcome.timesByJob().get(arrival.spec().id());
            long completion = time[1] - arrival.atMs();
            all.add(completion);
            if (isLarge(arrival)) {
                large.add(completion);
                longestWait = Math.max(longestWait, time[0] - arrival.atMs());
            } else {
                small.add(completion);
                longestSmallWait = Math.max(longestSmallWait, time[0] - arrival.atMs());
            }
        }
        System.out.printf(
                "%-18s completion s: median %d p99 %d; gangs of 16+: median %d p90 %d p99 %d,"
                        + " longest wait %d; smaller: p99 %d, longest wait %d%n",
                name,
                percentile(all, 0.5) / 1_000,
                percentile(all, 0.99) / 1_000,
                percentile(large, 0.5) / 1_000,
                percentile(large, 0.9) / 1_000,
                percentile(large, 0.99) / 1_000,
                longestWait / 1_000,
                percentile(small, 0.99) / 1_000,
                longestSmallWait / 1_000);
        System.out.printf("%-18s %s%n", name, outcome.idleCapacity().summary());
    }

    /**
     * Prints how long the gangs of the probe team waited whose guaranteed shape was occupied by
     * other teams when they arrived.
     */
    private static void reportReclaims(String name, List<Arrival> arrivals, Outcome outcome) {
        for (boolean urgent : new boolean[] {true, false}) {
            List<Long> waits = new ArrayList<>();
            for (Arrival arrival : arrivals) {
                JobSpec spec = arrival.spec();
                if (spec.team().equals(PROBE_TEAM)
                        && spec.urgent() == urgent
                        && outcome.idleCapacity().wasBlockedOnArrival(spec.id())) {
                    waits.add(outcome.timesByJob().get(spec.id())[0] - arrival.atMs());
                }
            }
            System.out.printf(
                    "%-18s reclaims for %s owners: %d, start ms: median %d, longest %d, late %d%n",
                    name,
                    urgent ? "urgent" : "other",
                    waits.size(),
                    waits.isEmpty() ? 0 : percentile(waits, 0.5),
                    waits.isEmpty() ? 0 : percentile(waits, 1),
                    waits.stream().filter(wait -> wait > RECLAIM_BOUND_MS).count());
        }
    }

    private static boolean isLarge(Arrival arrival) {
        return arrival.spec().shape().workers() >= LARGE_GANG_WORKERS;
    }

    private static long percentile(List<Long> values, double quantile) {
        List<Long> sorted = values.stream().sorted().toList();
        return sorted.get((int) Math.min(sorted.size() - 1L, (long) (sorted.size() * quantile)));
    }
}
