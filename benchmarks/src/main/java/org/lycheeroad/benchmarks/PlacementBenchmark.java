package org.lycheeroad.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.coordination.placement.GangPlacementCore;
import org.lycheeroad.coordination.placement.PlacementAction;
import org.lycheeroad.coordination.placement.PlacementEvent;
import org.lycheeroad.coordination.placement.PlacementSettings;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.shape.Shape;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures single decisions of the placement core at the design size of 950 workers. */
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
@Fork(1)
public class PlacementBenchmark {
    private static final int ACCELERATORS = 1_797;

    /** A region in which two thirds of the accelerators are busy. */
    @State(Scope.Benchmark)
    public static class Busy {
        @Param({"0", "20000"})
        int mFinishedJobs;

        SimulatedRegion mRegion;
        int mJobs;

        @Setup(Level.Trial)
        public void setUp() {
            mRegion =
                    new SimulatedRegion(
                            new GangPlacementCore(
                                    PlacementSettings.defaults(SimulatedRegion.REGION)),
                            SimulatedRegion.WORKERS,
                            SimulatedRegion.TEAMS);
            for (int i = 0; i < ACCELERATORS * 2 / 3; i++) {
                mRegion.submit("busy" + i, i % SimulatedRegion.TEAMS, "1x1@worker", 1_000);
            }
            for (int i = 0; i < mFinishedJobs; i++) {
                mRegion.submit("done" + i, i % SimulatedRegion.TEAMS, "1x1@worker", 1_000);
                mRegion.finish(new JobId("done" + i));
            }
            mRegion.reportAll();
        }

        JobSpec nextGang() {
            return new JobSpec(
                    new JobId("gang" + mJobs++),
                    new TeamId("team" + mJobs % SimulatedRegion.TEAMS),
                    new KindId("render"),
                    SimulatedRegion.REGION,
                    Shape.parse("64x1@any"),
                    false,
                    1_000,
                    "");
        }
    }

    /** Places a gang of 64 members and cancels it before the workers answer the reservation. */
    @Benchmark
    public int placeGangOf64(Busy busy) {
        JobSpec spec = busy.nextGang();
        List<PlacementAction> placed =
                busy.mRegion.mCore.handle(
                        new PlacementEvent.JobSubmitted(spec), busy.mRegion.mNowMs);
        if (placed.size() != spec.shape().workers()) {
            throw new IllegalStateException("gang not placed; number of actions: " + placed.size());
        }
        List<PlacementAction> stops =
                busy.mRegion.mCore.handle(
                        new PlacementEvent.JobCancelled(spec.id()), busy.mRegion.mNowMs);
        for (PlacementAction action : stops) {
            if (action instanceof PlacementAction.SendOrder send) {
                busy.mRegion.mCore.handle(
                        new PlacementEvent.OrderAnswered(
                                send.worker(),
                                send.order().job(),
                                send.order().member(),
                                send.order().attempt(),
                                send.order().kind(),
                                true,
                                ""),
                        busy.mRegion.mNowMs);
            }
        }
        return placed.size();
    }

    /** Handles a worker report without changes. */
    @Benchmark
    public int report(Busy busy) {
        busy.mJobs++;
        return busy.mRegion
                .mCore
                .handle(
                        new PlacementEvent.WorkerReported(
                                busy.mRegion.createReport(
                                        busy.mRegion
                                                .mWorkers
                                                .get(busy.mJobs % SimulatedRegion.WORKERS)
                                                .id())),
                        busy.mRegion.mNowMs)
                .size();
    }

    /** The worker reports of a fully occupied region that a new owner receives. */
    @State(Scope.Benchmark)
    public static class Full {
        GangPlacementCore mCore =
                new GangPlacementCore(PlacementSettings.defaults(SimulatedRegion.REGION));
        final List<PlacementEvent> mReports = new ArrayList<>();
        SimulatedRegion mRegion;
        long mToken = 1;

        @Setup(Level.Trial)
        public void setUp() {
            mRegion = new SimulatedRegion(mCore, SimulatedRegion.WORKERS, SimulatedRegion.TEAMS);
            for (int i = 0; i < ACCELERATORS; i++) {
                mRegion.submit("busy" + i, i % SimulatedRegion.TEAMS, "1x1@worker", 1_000);
            }
            mRegion.mWorkers.forEach(
                    worker ->
                            mReports.add(
                                    new PlacementEvent.WorkerReported(
                                            mRegion.createReport(worker.id()))));
        }
    }

    /** Takes over a region in which all accelerators are busy, until all gangs are renewed. */
    @Benchmark
    public int rebuild(Full full) {
        full.mCore.handle(new PlacementEvent.OwnershipGained(++full.mToken), full.mRegion.mNowMs);
        for (PlacementEvent report : full.mReports) {
            full.mCore.handle(report, full.mRegion.mNowMs);
        }
        int actions = full.mCore.handle(new PlacementEvent.Tick(), full.mRegion.mNowMs).size();
        if (actions < full.mReports.size()) {
            throw new IllegalStateException("gangs were not renewed: " + actions);
        }
        return actions;
    }
}
