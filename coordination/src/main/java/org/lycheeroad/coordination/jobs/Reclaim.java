package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.Worker.Claim;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.work.Resources;

/**
 * Frees room for urgent steps by stopping less urgent runs.
 *
 * <p>Room is freed where the least work is lost, on one rack for steps that need one, and is kept
 * for the step until the stopped runs have ended.
 */
final class Reclaim {
    /** How long room is kept before the choice is made anew; stops take some 200-400 ms. */
    private static final long CLAIM_MS = 1_000;

    /**
     * What a run that saves its progress loses at most: work since the last save, and a restart.
     */
    private static final long SAVED_LOSS_MS = 1_000;

    /** Weighs an accelerator against a core. */
    private static final double CORES_PER_ACCELERATOR = 8;

    private final Cluster mCluster;

    Reclaim(Cluster cluster) {
        mCluster = cluster;
    }

    /** Drops claims that have not been used in time. */
    void expire(long now) {
        for (Worker worker : mCluster.workers.values()) {
            worker.claims.removeIf(c -> now - c.madeAt > CLAIM_MS || !c.step.hasWaiting());
        }
    }

    boolean hasClaims(StepRun step) {
        for (Worker worker : mCluster.workers.values()) {
            for (Claim claim : worker.claims) {
                if (claim.step == step) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Stops what is in the way of a step's waiting tasks and keeps the room for them.
     *
     * @param remote whether tasks may run away from their data or across racks
     * @param maxLoss the most work that may be thrown away, in core-milliseconds
     */
    void reclaim(StepRun step, List<Task> waiting, boolean remote, double maxLoss, long now) {
        List<Worker> usable = new ArrayList<>();
        for (Worker worker : mCluster.workers.values()) {
            if (worker.isUsable(now) && Placement.allows(step, worker)) {
                usable.add(worker);
            }
        }
        Plan best = null;
        for (List<Worker> group : groups(step, usable)) {
            best = better(best, plan(step, waiting.size(), group, now));
        }
        if (best == null && remote) {
            best = plan(step, waiting.size(), usable, now);
        }
        if (best != null && best.cost <= maxLoss) {
            best.places.forEach((worker, tasks) -> claim(worker, step, tasks, now));
            for (Run victim : best.victims) {
                mCluster.stop(victim, StopReason.RECLAIMED, now);
                if (victim.task.step.plan.gang()) {
                    mCluster.stopGang(victim.task.step, victim.ref.attempt(), now);
                }
            }
        }
    }

    /** Where the tasks go and what is stopped for them. */
    private record Plan(Map<Worker, Integer> places, Set<Run> victims, double cost) {}

    /** The workers among which all tasks must be placed to run at full speed. */
    private static List<List<Worker>> groups(StepRun step, List<Worker> usable) {
        String near = step.plan.dataRack();
        boolean oneRack = step.plan.rackLocal() && step.plan.count() > 1;
        if (near.isEmpty() && !oneRack) {
            return List.of(usable);
        }
        Map<RackId, List<Worker>> racks = new LinkedHashMap<>();
        for (Worker worker : usable) {
            if (near.isEmpty() || near.equals(worker.entry.rack().value())) {
                racks.computeIfAbsent(worker.entry.rack(), k -> new ArrayList<>()).add(worker);
            }
        }
        return List.copyOf(racks.values());
    }

    private static Plan better(Plan one, Plan other) {
        return one == null || (other != null && other.cost < one.cost) ? other : one;
    }

    private Plan plan(StepRun step, int tasks, List<Worker> group, long now) {
        Map<Worker, Integer> places = new LinkedHashMap<>();
        Map<Run, Boolean> victims = new LinkedHashMap<>();
        Map<Worker, Resources> room = new HashMap<>();
        group.forEach(w -> room.put(w, w.freeFor(step).plus(stopping(w))));
        double cost = 0;
        for (int i = 0; i < tasks; i++) {
            Choice best = null;
            for (Worker worker : group) {
                int placed = places.getOrDefault(worker, 0);
                Choice choice = choose(step, worker, room.get(worker), placed, victims, now);
                if (choice != null && (best == null || choice.cost < best.cost)) {
                    best = choice;
                }
            }
            if (best == null) {
                return null;
            }
            Resources left = room.get(best.worker).minus(step.plan.reserved());
            for (Run victim : best.victims) {
                victims.put(victim, true);
                left = left.plus(victim.room);
            }
            room.put(best.worker, left);
            places.merge(best.worker, 1, Integer::sum);
            cost += best.cost;
        }
        return new Plan(places, Set.copyOf(victims.keySet()), cost);
    }

    /** What one more task costs on a worker. */
    private record Choice(Worker worker, List<Run> victims, double cost) {}

    private Choice choose(
            StepRun step,
            Worker worker,
            Resources room,
            int placed,
            Map<Run, Boolean> victims,
            long now) {
        int most = step.plan.maxPerWorker();
        if (most > 0 && worker.runsOf(step) + placed >= most) {
            return null;
        }
        Resources need = step.plan.reserved();
        Resources left = room;
        List<Run> chosen = new ArrayList<>();
        double cost = 0;
        if (!need.fitsIn(left)) {
            for (Run run : byLoss(step, worker, now)) {
                if (victims.containsKey(run)) {
                    continue;
                }
                left = left.plus(run.room);
                chosen.add(run);
                cost += loss(run, now);
                if (need.fitsIn(left)) {
                    break;
                }
            }
        }
        return need.fitsIn(left) ? new Choice(worker, chosen, cost) : null;
    }

    private List<Run> byLoss(StepRun step, Worker worker, long now) {
        List<Run> runs = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            if (run.phase != Phase.STOPPING && isStoppable(step, run)) {
                runs.add(run);
            }
        }
        runs.sort(Comparator.comparingDouble(run -> loss(run, now)));
        return runs;
    }

    private static Resources stopping(Worker worker) {
        Resources room = Resources.NONE;
        for (Run run : worker.runs.values()) {
            if (run.phase == Phase.STOPPING) {
                room = room.plus(run.room);
            }
        }
        return room;
    }

    private static void claim(Worker worker, StepRun step, int tasks, long now) {
        Claim claim = new Claim(step, now);
        claim.tasks = tasks;
        worker.claims.add(claim);
    }

    private static boolean isStoppable(StepRun step, Run run) {
        StepRun other = run.task.step;
        return other.job.queue.priority() > step.job.queue.priority()
                && other.plan.mayMiss() == 0
                && !run.task.done;
    }

    /** Returns the work of a step's tasks, in core-milliseconds. */
    static double work(StepRun step, long taskMs) {
        return step.plan.count() * cores(step.plan.reserved()) * taskMs;
    }

    /** Returns the work that a stop throws away, in core-milliseconds. */
    private double loss(Run run, long now) {
        StepRun step = run.task.step;
        long lost = run.workingSince > 0 ? now - run.workingSince : 0;
        if (step.plan.checkpointing()) {
            lost = Math.min(lost, SAVED_LOSS_MS);
        }
        double loss = cores(run.room) * (lost + 1);
        return step.plan.gang() ? loss * step.plan.count() : loss;
    }

    private static double cores(Resources room) {
        return room.cpuMillis() / 1_000.0 + room.accelerators() * CORES_PER_ACCELERATOR;
    }
}
