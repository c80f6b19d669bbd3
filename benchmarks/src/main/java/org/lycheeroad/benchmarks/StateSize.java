package org.lycheeroad.benchmarks;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.coordination.placement.GangPlacementCore;
import org.lycheeroad.coordination.placement.PlacementEvent;
import org.lycheeroad.coordination.placement.PlacementSettings;
import org.lycheeroad.state.id.JobId;

/** Prints the heap usage of the placement core per worker, per task and per team. */
public final class StateSize {
    private static final int COPIES = 20;
    private static final int[] WORKERS = {475, 950, 1_900};
    private static final int[] TASKS = {400, 800, 1_600};
    private static final int[] TEAMS = {24, 48, 96};

    private StateSize() {}

    /** Measures all sizes; takes no arguments. */
    public static void main(String[] args) throws InterruptedException {
        for (int workers : WORKERS) {
            long bytes = measure(workers, 0, 1);
            System.out.println(workers + " workers: " + bytes / workers + " bytes each");
        }
        long noTasks = measure(SimulatedRegion.WORKERS, 0, SimulatedRegion.TEAMS);
        for (int tasks : TASKS) {
            long bytes = measure(SimulatedRegion.WORKERS, tasks, SimulatedRegion.TEAMS) - noTasks;
            System.out.println(tasks + " tasks: " + bytes / tasks + " bytes each");
        }
        long noTeams = measure(SimulatedRegion.WORKERS, 0, 0);
        for (int teams : TEAMS) {
            long bytes = measure(SimulatedRegion.WORKERS, 0, teams) - noTeams;
            System.out.println(teams + " teams: " + bytes / teams + " bytes each");
        }
        System.out.println("20000 finished jobs: " + measureFinishedJobs() + " bytes each");
    }

    /** Returns the heap usage of one core in bytes, without the simulated region that drives it. */
    private static long measure(int workers, int tasks, int teams) throws InterruptedException {
        List<Object> cores = new ArrayList<>();
        long bytesBefore = usedHeapBytes();
        for (int i = 0; i < COPIES; i++) {
            cores.add(createCore(workers, tasks, teams));
        }
        long bytes = (usedHeapBytes() - bytesBefore) / COPIES;
        if (cores.size() != COPIES) {
            throw new IllegalStateException("the cores must stay reachable");
        }
        return bytes;
    }

    private static Object createCore(int workers, int tasks, int teams) {
        GangPlacementCore core =
                new GangPlacementCore(PlacementSettings.defaults(SimulatedRegion.REGION));
        SimulatedRegion region = new SimulatedRegion(core, workers, teams);
        for (int i = 0; i < tasks; i++) {
            region.submit("job" + i, i % Math.max(1, teams), "1x1@worker", 1_000);
        }
        return core;
    }

    private static long measureFinishedJobs() throws InterruptedException {
        int jobs = 20_000;
        GangPlacementCore core =
                new GangPlacementCore(PlacementSettings.defaults(SimulatedRegion.REGION));
        SimulatedRegion region =
                new SimulatedRegion(core, SimulatedRegion.WORKERS, SimulatedRegion.TEAMS);
        long bytesBefore = usedHeapBytes();
        for (int i = 0; i < jobs; i++) {
            region.submit("job" + i, i % SimulatedRegion.TEAMS, "1x1@worker", 1_000);
            region.finish(new JobId("job" + i));
            region.mJobStates.clear();
        }
        region.reportAll();
        long bytes = usedHeapBytes() - bytesBefore;
        if (core.handle(new PlacementEvent.Tick(), region.mNowMs).size() < 0) {
            throw new IllegalStateException("the core must stay reachable");
        }
        return bytes / jobs;
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < 4; i++) {
            System.gc();
            Thread.sleep(50);
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
