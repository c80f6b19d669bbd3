package org.lycheeroad.benchmarks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.function.IntUnaryOperator;
import org.lycheeroad.coordination.placement.PlacementAction;
import org.lycheeroad.coordination.placement.PlacementCore;
import org.lycheeroad.coordination.placement.PlacementEvent;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableRow;
import org.lycheeroad.state.table.WorkClass;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.TaskReport;
import org.lycheeroad.state.task.TaskState;
import org.lycheeroad.state.task.WorkerReport;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.WorkerInfo;

/**
 * Drives a placement core with a simulated region whose workers accept every order immediately and
 * never fail.
 */
final class SimulatedRegion {
    static final RegionId REGION = new RegionId("region");
    static final int WORKERS = 950;
    static final int TEAMS = 48;
    private static final int WORKERS_PER_RACK = 8;
    private static final int LARGE_WORKER_COUNT = 121;
    private static final int LARGE_WORKER_ACCELERATORS = 8;

    /** A task as seen by its worker. */
    static final class Task {
        final Order mOrder;
        TaskState mState = TaskState.RESERVED;

        Task(Order order) {
            mOrder = order;
        }
    }

    final List<WorkerInfo> mWorkers = new ArrayList<>();
    final Map<WorkerId, Map<String, Task>> mTasksByWorker = new HashMap<>();
    final Map<JobId, JobState> mJobStates = new LinkedHashMap<>();
    final PlacementCore mCore;
    long mNowMs = 1_000;
    private long mSequence;

    /**
     * Creates a region with the standard mix of workers.
     *
     * <p>The full size of 950 workers has 121 workers with 8 accelerators and 829 with one, 1,797
     * accelerators in all; other sizes have the same proportions.
     */
    SimulatedRegion(PlacementCore core, int workers, int teams) {
        this(
                core,
                workers,
                teams,
                i -> i * WORKERS < LARGE_WORKER_COUNT * workers ? LARGE_WORKER_ACCELERATORS : 1);
    }

    /**
     * Creates a region.
     *
     * @param accelerators returns the number of accelerators for the index of a worker
     */
    SimulatedRegion(PlacementCore core, int workers, int teams, IntUnaryOperator accelerators) {
        mCore = core;
        for (int i = 0; i < workers; i++) {
            WorkerInfo info =
                    new WorkerInfo(
                            new WorkerId("w" + i),
                            REGION,
                            new FailureDomainId("d" + i % 3),
                            new RackId("rack" + i / WORKERS_PER_RACK),
                            accelerators.applyAsInt(i),
                            new HostPort("127.0.0.1", 1));
            mWorkers.add(info);
            mTasksByWorker.put(info.id(), new LinkedHashMap<>());
        }
        handle(new PlacementEvent.WorkersChanged(mWorkers));
        handle(new PlacementEvent.TableChanged(new OperatorTable(1, tableRows(teams))));
        acquireOwnership(1);
    }

    void acquireOwnership(long token) {
        handle(new PlacementEvent.OwnershipGained(token));
        reportAll();
        handle(new PlacementEvent.Tick());
    }

    void submit(String job, int team, String shape, long declaredMs) {
        submit(
                new JobSpec(
                        new JobId(job),
                        new TeamId("team" + team),
                        new KindId("render"),
                        REGION,
                        Shape.parse(shape),
                        false,
                        declaredMs,
                        ""));
    }

    void submit(JobSpec spec) {
        mJobStates.put(spec.id(), JobState.QUEUED);
        handle(new PlacementEvent.JobSubmitted(spec));
    }

    /** Returns the idle accelerators of each worker. */
    int[] idleAccelerators() {
        int[] free = new int[mWorkers.size()];
        for (int i = 0; i < free.length; i++) {
            free[i] = mWorkers.get(i).accelerators();
            for (Task task : mTasksByWorker.get(mWorkers.get(i).id()).values()) {
                if (task.mState.holdsAccelerators()) {
                    free[i] -= task.mOrder.accelerators().size();
                }
            }
        }
        return free;
    }

    /** Ends all running tasks of a job and sends the reports of their workers. */
    void finish(JobId job) {
        for (WorkerInfo worker : mWorkers) {
            boolean ended = false;
            for (Task task : mTasksByWorker.get(worker.id()).values()) {
                if (task.mOrder.job().equals(job) && task.mState == TaskState.RUNNING) {
                    task.mState = TaskState.DONE;
                    ended = true;
                }
            }
            if (ended) {
                reportWorker(worker.id());
            }
        }
    }

    void reportAll() {
        for (WorkerInfo worker : mWorkers) {
            reportWorker(worker.id());
        }
    }

    void reportWorker(WorkerId worker) {
        handle(new PlacementEvent.WorkerReported(createReport(worker)));
    }

    WorkerReport createReport(WorkerId worker) {
        List<TaskReport> tasks = new ArrayList<>();
        for (Task task : mTasksByWorker.get(worker).values()) {
            tasks.add(
                    new TaskReport(
                            task.mOrder.job(),
                            task.mOrder.member(),
                            task.mOrder.attempt(),
                            task.mState,
                            task.mOrder.accelerators(),
                            task.mOrder.spec(),
                            0));
        }
        return new WorkerReport(worker, 1, ++mSequence, 1, tasks);
    }

    /** Handles an event, applies the resulting orders and handles their answers. */
    void handle(PlacementEvent event) {
        Queue<PlacementEvent> events = new ArrayDeque<>(List.of(event));
        while (!events.isEmpty()) {
            for (PlacementAction action : mCore.handle(events.remove(), mNowMs)) {
                if (action instanceof PlacementAction.JobChanged changed) {
                    mJobStates.put(changed.job(), changed.state());
                } else if (action instanceof PlacementAction.SendOrder send) {
                    apply(send.worker(), send.order());
                    events.add(
                            new PlacementEvent.OrderAnswered(
                                    send.worker(),
                                    send.order().job(),
                                    send.order().member(),
                                    send.order().attempt(),
                                    send.order().kind(),
                                    true,
                                    ""));
                }
            }
        }
    }

    private void apply(WorkerId worker, Order order) {
        Map<String, Task> tasks = mTasksByWorker.get(worker);
        String key = order.job() + "/" + order.member() + "/" + order.attempt();
        Task task = tasks.get(key);
        switch (order.kind()) {
            case RESERVE -> tasks.put(key, new Task(order));
            case START -> task.mState = TaskState.RUNNING;
            case STOP -> {
                if (task != null) {
                    task.mState = TaskState.STOPPED;
                }
            }
            case ACK -> tasks.remove(key);
            case CONFIRM, RENEW, CHECKPOINT, THROTTLE -> {}
        }
    }

    private static List<TableRow> tableRows(int teams) {
        List<TableRow> rows = new ArrayList<>();
        for (int team = 0; team < teams; team++) {
            rows.add(
                    new TableRow(
                            new TeamId("team" + team),
                            WorkClass.GANG,
                            new KindId("render"),
                            REGION,
                            1 + team % 3,
                            OptionalLong.empty(),
                            List.of(Shape.parse("1x8@worker"), Shape.parse("2x1@any")),
                            1_000));
        }
        return rows;
    }
}
