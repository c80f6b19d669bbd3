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
 * Chooses workers for the waiting tasks of a step.
 *
 * <p>A gang gets places for all members or none. Tasks go where the least room is left over, so
 * that whole workers stay free for large tasks.
 */
final class Placement {
    /** Weighs leftover processor time against leftover accelerators, per core. */
    private static final double ACCELERATORS_PER_CORE = 0.05;

    /** Weighs leftover memory against leftover accelerators, per gigabyte. */
    private static final double ACCELERATORS_PER_GB = 0.02;

    /** Prefers any worker near the data to any other. */
    private static final double REMOTE_COST = 1_000;

    /** Avoids workers without a recent heartbeat, unless no other has room. */
    private static final double SILENT_COST = 5_000;

    /** Two heartbeats of 1.5 s and the time to the store and back. */
    private static final long SILENT_MS = 3_600;

    /** Prefers any worker without serving tasks for filling ones. */
    private static final double SERVING_COST = 500;

    /** Avoids workers on which the task has failed, unless no other has room. */
    private static final double FAILED_COST = 10_000;

    private Placement() {}

    /**
     * Returns places for as many of the tasks as fit; for a gang, for all of them or none.
     *
     * @param remote whether tasks may run away from their data or across racks
     */
    static Map<Task, Worker> place(
            StepRun step,
            List<Task> waiting,
            Collection<Worker> workers,
            boolean remote,
            long now) {
        List<Worker> allowed = new ArrayList<>();
        for (Worker worker : workers) {
            if (worker.isUsable(now) && allows(step, worker) && step.mayUse(worker, now)) {
                allowed.add(worker);
            }
        }
        if (!step.plan.dataRack().isEmpty()) {
            RackId near = new RackId(step.plan.dataRack());
            List<Worker> local = allowed.stream().filter(w -> near.equals(w.entry.rack())).toList();
            Map<Task, Worker> places = fill(step, waiting, local, now);
            if (places.size() == waiting.size() || !remote) {
                return whole(step, waiting, places);
            }
        }
        if (step.plan.rackLocal() && step.plan.count() > 1) {
            Map<Task, Worker> places = inOneRack(step, waiting, allowed, now);
            if (!places.isEmpty() || !remote) {
                return places;
            }
        }
        return whole(step, waiting, fill(step, waiting, allowed, now));
    }

    /** Returns whether a step's tasks may run on a worker, whatever room it has. */
    static boolean allows(StepRun step, Worker worker) {
        String label = step.plan.requiredLabel();
        return worker.entry.service().equals(step.job.queue.service())
                && (label.isEmpty() || worker.entry.labels().contains(label))
                && !step.permits.isRefused(worker);
    }

    /** Returns whether workers are away from a step's data or on several racks against its wish. */
    static boolean isRemote(StepRun step, Collection<Worker> places) {
        String near = step.plan.dataRack();
        Set<RackId> racks = new HashSet<>();
        for (Worker worker : places) {
            racks.add(worker.entry.rack());
            if (!near.isEmpty() && !near.equals(worker.entry.rack().value())) {
                return true;
            }
        }
        return step.plan.rackLocal() && racks.size() > 1;
    }

    /** Returns whether some rack, were it empty, would hold all of a step at full speed. */
    static boolean hasRack(StepRun step, Collection<Worker> workers) {
        String near = step.plan.dataRack();
        boolean oneRack = step.plan.rackLocal() && step.plan.count() > 1;
        if (near.isEmpty() && !oneRack) {
            return true;
        }
        Map<RackId, Integer> racks = new HashMap<>();
        for (Worker worker : workers) {
            if (worker.listed
                    && !worker.entry.draining()
                    && allows(step, worker)
                    && (near.isEmpty() || near.equals(worker.entry.rack().value()))) {
                int fits = fits(step, worker, worker.entry.capacity(), step.plan.count());
                racks.merge(worker.entry.rack(), fits, Integer::sum);
            }
        }
        int needed = oneRack || step.plan.gang() ? step.plan.count() : 1;
        return racks.values().stream().anyMatch(fits -> fits >= needed);
    }

    /** Returns how many tasks of a step fit on a worker with some room. */
    static int fits(StepRun step, Worker worker, Resources room, int most) {
        int bound = most;
        if (step.plan.maxPerWorker() > 0) {
            bound = Math.min(bound, step.plan.maxPerWorker() - worker.runsOf(step));
        }
        return step.plan.reservedResources().maxCopiesIn(room, Math.max(0, bound));
    }

    private static Map<Task, Worker> whole(
            StepRun step, List<Task> waiting, Map<Task, Worker> places) {
        return step.plan.gang() && places.size() < waiting.size() ? Map.of() : places;
    }

    /** Uses the rack with the least room that holds all tasks. */
    private static Map<Task, Worker> inOneRack(
            StepRun step, List<Task> waiting, List<Worker> allowed, long now) {
        if (waiting.size() < step.plan.count()) {
            return besideOthers(step, waiting, allowed, now);
        }
        Map<RackId, List<Worker>> racks = new LinkedHashMap<>();
        allowed.forEach(w -> racks.computeIfAbsent(w.entry.rack(), k -> new ArrayList<>()).add(w));
        Map<Task, Worker> best = Map.of();
        int bestRoom = Integer.MAX_VALUE;
        for (List<Worker> rack : racks.values()) {
            int room = 0;
            for (Worker worker : rack) {
                room += fits(step, worker, worker.freeFor(step), Integer.MAX_VALUE / 64);
            }
            if (room >= waiting.size() && room < bestRoom) {
                best = fill(step, waiting, rack, now);
                bestRoom = room;
            }
        }
        return best;
    }

    /** Places the rest of a step on the rack where its other tasks run. */
    private static Map<Task, Worker> besideOthers(
            StepRun step, List<Task> waiting, List<Worker> allowed, long now) {
        RackId rack = null;
        for (Task task : step.tasks) {
            if (task.run != null) {
                rack = task.run.worker.entry.rack();
            }
        }
        RackId used = rack;
        return fill(
                step,
                waiting,
                allowed.stream().filter(w -> used == null || used.equals(w.entry.rack())).toList(),
                now);
    }

    private static Map<Task, Worker> fill(
            StepRun step, List<Task> waiting, List<Worker> workers, long now) {
        Map<Worker, Integer> room = new HashMap<>();
        Map<Worker, Integer> taken = new HashMap<>();
        Map<RackId, Integer> idle = new HashMap<>();
        for (Worker worker : workers) {
            int fits = fits(step, worker, worker.freeFor(step), waiting.size());
            if (fits > 0) {
                room.put(worker, fits);
            }
            if (worker.runs.isEmpty()) {
                idle.merge(worker.entry.rack(), 1, Integer::sum);
            }
        }
        Map<Task, Worker> places = new LinkedHashMap<>();
        for (Task task : waiting) {
            Worker best =
                    room.keySet().stream()
                            .min(
                                    Comparator.comparingDouble(
                                                    (Worker w) ->
                                                            cost(
                                                                    task,
                                                                    w,
                                                                    taken.getOrDefault(w, 0),
                                                                    now))
                                            .thenComparing(
                                                    w -> idle.getOrDefault(w.entry.rack(), 0))
                                            .thenComparing(w -> w.id))
                            .orElse(null);
            if (best == null) {
                break;
            }
            places.put(task, best);
            taken.merge(best, 1, Integer::sum);
            room.merge(best, -1, Integer::sum);
            room.remove(best, 0);
        }
        return places;
    }

    /** Filling tasks go where most processor time is idle, and away from serving tasks. */
    private static double fillingCost(Task task, Worker worker, int taken) {
        double busyCores = worker.used().cpuMillis() / 1_000.0;
        double fillingCores =
                (worker.fillingRuns() + taken) * task.step.plan.need().cpuMillis() / 1_000.0;
        return busyCores + fillingCores + (worker.hasServing() ? SERVING_COST : 0);
    }

    private static double cost(Task task, Worker worker, int taken, long now) {
        StepRun step = task.step;
        Resources left = worker.freeFor(step).minus(step.plan.reservedResources().times(taken + 1));
        double cost =
                step.plan.fills()
                        ? fillingCost(task, worker, taken)
                        : left.accelerators()
                                + left.cpuMillis() / 1_000.0 * ACCELERATORS_PER_CORE
                                + left.memoryMb() / 1_024.0 * ACCELERATORS_PER_GB;
        String near = step.plan.dataRack();
        if (!near.isEmpty() && !near.equals(worker.entry.rack().value())) {
            cost += REMOTE_COST;
        }
        if (now - worker.heardAt > SILENT_MS) {
            cost += SILENT_COST;
        }
        if (task.failedOn.contains(worker.id)) {
            cost += FAILED_COST;
        }
        return cost;
    }
}
