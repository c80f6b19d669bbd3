package org.lycheeroad.benchmarks;

import java.util.Arrays;
import org.lycheeroad.coordination.placement.GangPlacementCore;
import org.lycheeroad.coordination.placement.PlacementEvent;
import org.lycheeroad.coordination.placement.PlacementSettings;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.topology.WorkerInfo;

/**
 * Measures how long the placement core takes for single events with 6,000 running tasks, including
 * bursts of 3,000 submissions and cancellations.
 *
 * <p>The region has 950 workers with 7 accelerators each, because every simulated task holds one
 * accelerator. A time includes the events that follow immediately, such as the answers to STOP
 * orders.
 */
public final class EventCost {
    private static final int TASKS = 6_000;
    private static final int ACCELERATORS_PER_WORKER = 7;
    private static final int BURST_TASKS = 3_000;
    private static final int WARM_UP_TASKS = 500;

    private final SimulatedRegion mRegion =
            new SimulatedRegion(
                    new GangPlacementCore(PlacementSettings.defaults(SimulatedRegion.REGION)),
                    SimulatedRegion.WORKERS,
                    SimulatedRegion.TEAMS,
                    i -> ACCELERATORS_PER_WORKER);

    private EventCost() {}

    /** Prints the cost per event; takes no arguments. */
    public static void main(String[] args) {
        new EventCost().run();
    }

    private void run() {
        timeSubmissions("warm", WARM_UP_TASKS);
        timeCancellations("warm", WARM_UP_TASKS);
        print("submit a task until 6,000 run", timeSubmissions("task", TASKS));
        print("report that changes nothing", timeReports());
        print("tick", timeTicks());
        int idleAccelerators = SimulatedRegion.WORKERS * ACCELERATORS_PER_WORKER - TASKS;
        timeSubmissions("filler", idleAccelerators);
        print("submit while the region is full", timeSubmissions("waiting", BURST_TASKS));
        print("tick with 3,000 waiting", timeTicks());
        print("cancel one of 3,000 waiting", timeCancellations("waiting", BURST_TASKS));
        print("cancel one of 3,000 running", timeCancellations("task", BURST_TASKS));
    }

    private long[] timeSubmissions(String name, int count) {
        long[] nanos = new long[count];
        for (int i = 0; i < count; i++) {
            long startNanos = System.nanoTime();
            mRegion.submit(name + i, i % SimulatedRegion.TEAMS, "1x1@worker", 1_000);
            nanos[i] = System.nanoTime() - startNanos;
        }
        return nanos;
    }

    private long[] timeCancellations(String name, int count) {
        long[] nanos = new long[count];
        for (int i = 0; i < count; i++) {
            long startNanos = System.nanoTime();
            mRegion.handle(new PlacementEvent.JobCancelled(new JobId(name + i)));
            nanos[i] = System.nanoTime() - startNanos;
        }
        mRegion.reportAll();
        return nanos;
    }

    private long[] timeReports() {
        long[] nanos = new long[mRegion.mWorkers.size()];
        int count = 0;
        for (WorkerInfo worker : mRegion.mWorkers) {
            PlacementEvent report =
                    new PlacementEvent.WorkerReported(mRegion.createReport(worker.id()));
            long startNanos = System.nanoTime();
            mRegion.handle(report);
            nanos[count++] = System.nanoTime() - startNanos;
        }
        return nanos;
    }

    private long[] timeTicks() {
        long[] nanos = new long[100];
        for (int i = 0; i < nanos.length; i++) {
            mRegion.mNowMs += 100;
            if (i % 10 == 0) {
                mRegion.reportAll();
            }
            long startNanos = System.nanoTime();
            mRegion.handle(new PlacementEvent.Tick());
            nanos[i] = System.nanoTime() - startNanos;
        }
        return nanos;
    }

    private static void print(String name, long[] nanos) {
        long[] sorted = nanos.clone();
        Arrays.sort(sorted);
        System.out.printf(
                "%-32s %5d events: median %8.1f us, p99 %9.1f us, longest %9.1f us, total %6d ms%n",
                name,
                sorted.length,
                sorted[sorted.length / 2] / 1e3,
                sorted[sorted.length * 99 / 100] / 1e3,
                sorted[sorted.length - 1] / 1e3,
                Arrays.stream(nanos).sum() / 1_000_000);
    }
}
