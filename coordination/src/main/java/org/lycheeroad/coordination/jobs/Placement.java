package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.work.Resources;

/**
 * Chooses workers for the pending tasks of a step.
 *
 * <p>A gang is placed as a whole or not at all. Tasks are packed onto the workers that would have
 * the least resources left (best fit), so that empty workers remain for large tasks.
 */
final class Placement {
    /** The cost of a remaining core, in remaining accelerators. */
    private static final double ACCELERATORS_PER_CORE = 0.05;

    /** The cost of a remaining gigabyte of memory, in remaining accelerators. */
    private static final double ACCELERATORS_PER_GB = 0.02;

    /**
     * The cost of the time that an urgent task takes, in remaining accelerators per duration at
     * normal speed. Urgent jobs have little slack.
     */
    private static final double URGENT_TIME_COST = 20;

    /** Ranks workers on the rack of the data before other workers. */
    private static final double REMOTE_COST = 1_000;

    /** Ranks workers without a recent heartbeat after all but those on which the task failed. */
    private static final double STALE_HEARTBEAT_COST = 5_000;

    /**
     * The age from which a heartbeat is not recent: two intervals of 1.5 s, plus the time for the
     * entry to reach the scheduler through the store.
     */
    private static final long STALE_HEARTBEAT_MS = 3_600;

    /** Ranks workers with serving tasks after those without, for best-effort tasks. */
    private static final double SERVING_WORKER_COST = 500;

    /**
     * Ranks workers without a recent success after others for a step that has failed before: its
     * attempts are limited, and other workers may fail all that they start.
     */
    private static final double UNPROVEN_WORKER_COST = 2_000;

    /** Tasks up to this duration end before a draining worker leaves. */
    private static final long MAX_SHORT_MS = 3_000;

    /** Ranks workers on which the task has failed after all others. */
    private static final double PREVIOUS_FAILURE_COST = 10_000;

    private Placement() {}

    /**
     * Returns workers for as many of the tasks as fit; for a gang, for all of them or none.
     *
     * <p>Workers that are likely to be replaced soon are used only if the tasks do not fit without
     * them.
     *
     * @param allowRemote whether the tasks may run on other racks than their data or across racks
     */
    static Map<Task, Worker> place(
            StepInstance step,
            List<Task> pending,
            ClusterState state,
            boolean allowRemote,
            long nowMs) {
        Collection<Worker> workers = state.workers.values();
        if (losesWorkWithItsWorker(step, state)) {
            List<Worker> lasting = new ArrayList<>();
            for (Worker worker : workers) {
                if (worker.entry != null && !state.rollout.isOutdated(worker, nowMs)) {
                    lasting.add(worker);
                }
            }
            if (lasting.size() < workers.size()) {
                Map<Task, Worker> assignments = place(step, pending, lasting, false, nowMs);
                if (assignments.size() == pending.size()) {
                    return assignments;
                }
            }
        }
        return place(step, pending, workers, allowRemote, nowMs);
    }

    /** Returns whether a step loses much work if it has to leave a worker. */
    private static boolean losesWorkWithItsWorker(StepInstance step, ClusterState state) {
        return !step.plan.longRunning()
                && !step.plan.checkpointing()
                && (step.plan.gang() || step.expectedMs(state.durationEstimator) > MAX_SHORT_MS);
    }

    private static Map<Task, Worker> place(
            StepInstance step,
            List<Task> pending,
            Collection<Worker> workers,
            boolean allowRemote,
            long nowMs) {
        List<Worker> eligible = new ArrayList<>();
        for (Worker worker : workers) {
            if (worker.isSchedulable(nowMs)
                    && isEligible(step, worker)
                    && step.isAllowedByPolicy(worker, nowMs)) {
                eligible.add(worker);
            }
        }
        if (!step.plan.dataRack().isEmpty()) {
            RackId dataRack = new RackId(step.plan.dataRack());
            List<Worker> local =
                    eligible.stream().filter(w -> dataRack.equals(w.entry.rack())).toList();
            Map<Task, Worker> assignments = assignCheapest(step, pending, local, nowMs);
            if (assignments.size() == pending.size() || !allowRemote) {
                return allOrNothingForGang(step, pending, assignments);
            }
        }
        if (step.plan.rackLocal() && step.plan.count() > 1) {
            Map<Task, Worker> assignments = placeInOneRack(step, pending, eligible, nowMs);
            if (!assignments.isEmpty() || !allowRemote) {
                return assignments;
            }
        }
        return allOrNothingForGang(step, pending, assignCheapest(step, pending, eligible, nowMs));
    }

    /** Returns whether a worker meets a step's constraints, regardless of its free resources. */
    static boolean isEligible(StepInstance step, Worker worker) {
        String label = step.plan.requiredLabel();
        return worker.entry.service().equals(step.job.queue.service())
                && (label.isEmpty() || worker.entry.labels().contains(label))
                && !step.policyDecisions.isRefused(worker);
    }

    /**
     * Returns whether workers are outside the rack of the data or, for rack-local steps, span
     * racks.
     */
    static boolean isRemote(StepInstance step, Collection<Worker> assigned) {
        String dataRack = step.plan.dataRack();
        Set<RackId> racks = new HashSet<>();
        for (Worker worker : assigned) {
            racks.add(worker.entry.rack());
            if (!dataRack.isEmpty() && !dataRack.equals(worker.entry.rack().value())) {
                return true;
            }
        }
        return step.plan.rackLocal() && racks.size() > 1;
    }

    /** Returns whether some rack, if it were empty, could run the step at full speed. */
    static boolean canRackHold(StepInstance step, Collection<Worker> workers) {
        if (!prefersRack(step)) {
            return true;
        }
        Map<Worker, Resources> capacities = new HashMap<>();
        for (Worker worker : workers) {
            if (worker.isInService()) {
                capacities.put(worker, worker.entry.capacity());
            }
        }
        return canRackHold(step, capacities);
    }

    /**
     * As {@link #canRackHold} with only the workers that can be used now, and without what
     * long-running tasks hold there.
     */
    static boolean canRackHoldSoon(StepInstance step, Collection<Worker> workers, long nowMs) {
        if (!prefersRack(step)) {
            return true;
        }
        Map<Worker, Resources> capacities = new HashMap<>();
        for (Worker worker : workers) {
            if (worker.isSchedulable(nowMs)) {
                Resources capacity = worker.entry.capacity();
                for (Run run : worker.runs.values()) {
                    if (run.task.step.plan.longRunning()) {
                        capacity = capacity.minus(run.resources);
                    }
                }
                capacities.put(worker, capacity);
            }
        }
        return canRackHold(step, capacities);
    }

    /** Returns whether a step runs at full speed only on the rack of its data, or on one rack. */
    private static boolean prefersRack(StepInstance step) {
        return !step.plan.dataRack().isEmpty() || needsOneRack(step);
    }

    private static boolean needsOneRack(StepInstance step) {
        return step.plan.rackLocal() && step.plan.count() > 1;
    }

    private static boolean canRackHold(StepInstance step, Map<Worker, Resources> capacities) {
        String dataRack = step.plan.dataRack();
        Map<RackId, Integer> racks = new HashMap<>();
        capacities.forEach(
                (worker, capacity) -> {
                    RackId rack = worker.entry.rack();
                    if (isEligible(step, worker)
                            && (dataRack.isEmpty() || dataRack.equals(rack.value()))) {
                        int fitting = countFitting(step, worker, capacity, step.plan.count());
                        racks.merge(rack, fitting, Integer::sum);
                    }
                });
        int needed = needsOneRack(step) || step.plan.gang() ? step.plan.count() : 1;
        return racks.values().stream().anyMatch(fitting -> fitting >= needed);
    }

    /** Returns how many tasks of a step, up to a maximum, fit into resources of a worker. */
    static int countFitting(StepInstance step, Worker worker, Resources available, int max) {
        int limit = max;
        if (step.plan.maxPerWorker() > 0) {
            limit = Math.min(limit, step.plan.maxPerWorker() - worker.runCountOf(step));
        }
        return step.plan.reservedResources().maxCopiesIn(available, Math.max(0, limit));
    }

    private static Map<Task, Worker> allOrNothingForGang(
            StepInstance step, List<Task> pending, Map<Task, Worker> assignments) {
        return step.plan.gang() && assignments.size() < pending.size() ? Map.of() : assignments;
    }

    /** Uses the rack with the least free capacity that fits all tasks. */
    private static Map<Task, Worker> placeInOneRack(
            StepInstance step, List<Task> pending, List<Worker> eligible, long nowMs) {
        if (pending.size() < step.plan.count()) {
            return placeBesideRunningTasks(step, pending, eligible, nowMs);
        }
        Map<RackId, List<Worker>> racks = new LinkedHashMap<>();
        eligible.forEach(w -> racks.computeIfAbsent(w.entry.rack(), k -> new ArrayList<>()).add(w));
        Map<Task, Worker> best = Map.of();
        int smallestFit = Integer.MAX_VALUE;
        for (List<Worker> rack : racks.values()) {
            int fitting = 0;
            for (Worker worker : rack) {
                fitting +=
                        countFitting(
                                step,
                                worker,
                                worker.resourcesFreeFor(step),
                                Integer.MAX_VALUE / 64);
            }
            if (fitting >= pending.size() && fitting < smallestFit) {
                best = assignCheapest(step, pending, rack, nowMs);
                smallestFit = fitting;
            }
        }
        return best;
    }

    /**
     * Places the pending tasks of a step on the rack where its other tasks run. Workers that left
     * the directory before this owner's term have no entry, so their rack is unknown.
     */
    private static Map<Task, Worker> placeBesideRunningTasks(
            StepInstance step, List<Task> pending, List<Worker> eligible, long nowMs) {
        RackId rack = null;
        for (Task task : step.tasks) {
            if (task.run != null && task.run.worker.entry != null) {
                rack = task.run.worker.entry.rack();
            }
        }
        RackId usedRack = rack;
        return assignCheapest(
                step,
                pending,
                eligible.stream()
                        .filter(w -> usedRack == null || usedRack.equals(w.entry.rack()))
                        .toList(),
                nowMs);
    }

    /** Assigns each task to its cheapest worker, as long as tasks fit. */
    private static Map<Task, Worker> assignCheapest(
            StepInstance step, List<Task> pending, List<Worker> workers, long nowMs) {
        boolean hasFailed = step.failureCount() > 0;
        Map<Worker, Integer> fittingTasks = new HashMap<>();
        Map<Worker, Integer> assigned = new HashMap<>();
        Map<RackId, Integer> idleWorkers = new HashMap<>();
        for (Worker worker : workers) {
            int fitting = countFitting(step, worker, worker.resourcesFreeFor(step), pending.size());
            if (fitting > 0) {
                fittingTasks.put(worker, fitting);
            }
            if (worker.runs.isEmpty()) {
                idleWorkers.merge(worker.entry.rack(), 1, Integer::sum);
            }
        }
        Map<Task, Worker> assignments = new LinkedHashMap<>();
        for (Task task : pending) {
            Worker best =
                    fittingTasks.keySet().stream()
                            .min(
                                    Comparator.comparingDouble(
                                                    (Worker w) ->
                                                            cost(
                                                                    task,
                                                                    w,
                                                                    assigned.getOrDefault(w, 0),
                                                                    hasFailed,
                                                                    nowMs))
                                            .thenComparing(
                                                    w ->
                                                            idleWorkers.getOrDefault(
                                                                    w.entry.rack(), 0))
                                            .thenComparing(w -> w.id))
                            .orElse(null);
            if (best == null) {
                break;
            }
            assignments.put(task, best);
            assigned.merge(best, 1, Integer::sum);
            fittingTasks.merge(best, -1, Integer::sum);
            fittingTasks.remove(best, 0);
        }
        return assignments;
    }

    /** Prefers workers with little processor time in use and without serving tasks. */
    private static double bestEffortCost(Task task, Worker worker, int assigned) {
        double busyCores = worker.usedResources().cpuMillis() / 1_000.0;
        double bestEffortCores =
                (worker.bestEffortRunCount() + assigned)
                        * task.step.plan.need().cpuMillis()
                        / 1_000.0;
        return busyCores + bestEffortCores + (worker.hasServingRuns() ? SERVING_WORKER_COST : 0);
    }

    private static double cost(
            Task task, Worker worker, int assigned, boolean hasFailed, long nowMs) {
        StepInstance step = task.step;
        Resources remaining =
                worker.resourcesFreeFor(step)
                        .minus(step.plan.reservedResources().times(assigned + 1));
        double cost =
                step.plan.fills()
                        ? bestEffortCost(task, worker, assigned)
                        : remaining.accelerators()
                                + remaining.cpuMillis() / 1_000.0 * ACCELERATORS_PER_CORE
                                + remaining.memoryMb() / 1_024.0 * ACCELERATORS_PER_GB;
        String dataRack = step.plan.dataRack();
        if (!dataRack.isEmpty() && !dataRack.equals(worker.entry.rack().value())) {
            cost += REMOTE_COST;
        }
        if (step.job.queue.priority() == 0 && !step.plan.fills()) {
            cost += URGENT_TIME_COST / worker.speed.value();
        }
        if (nowMs - worker.lastHeartbeatAtMs > STALE_HEARTBEAT_MS) {
            cost += STALE_HEARTBEAT_COST;
        }
        if (task.failedWorkers.contains(worker.id)) {
            cost += PREVIOUS_FAILURE_COST;
        }
        if (hasFailed && !worker.hasRecentSuccess(nowMs)) {
            cost += UNPROVEN_WORKER_COST;
        }
        return cost;
    }
}
