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
 * Frees room for steps that do not fit: by stopping less urgent runs, or by keeping what becomes
 * free.
 *
 * <p>Room is freed where the least work is lost or the least time passes, on one rack for steps
 * that need one, and is kept for the step until the runs there have ended.
 */
final class Reclaim {
    /** How long room is kept before the choice is made anew; stops take some 200-400 ms. */
    private static final long CLAIM_MS = 1_000;

    /** The least time until a run ends that is past its expected time. */
    private static final long OVERDUE_MS = 500;

    /**
     * What a run that saves its progress loses at most: work since the last save, and a restart.
     */
    private static final long SAVED_LOSS_MS = 1_000;

    /** Weighs an accelerator against a core. */
    private static final double CORES_PER_ACCELERATOR = 8;

    /** Which runs may give way, and what that costs. */
    private interface Yield {
        boolean mayYield(StepRun step, Run run);

        double cost(Run run, long now);
    }

    private final Cluster mCluster;
    private final Yield mStopping = new Stopping();
    private final Yield mEnding = new Ending();

    Reclaim(Cluster cluster) {
        mCluster = cluster;
    }

    /** Drops claims of the last round, and those on stopped runs that were not used in time. */
    void expire(long now) {
        for (Worker worker : mCluster.workers.values()) {
            worker.claims.removeIf(c -> !c.reclaimed || now > c.expiresAt || !c.step.hasWaiting());
        }
    }

    /** Returns whether runs are being stopped for a step. */
    boolean hasClaims(StepRun step) {
        for (Worker worker : mCluster.workers.values()) {
            for (Claim claim : worker.claims) {
                if (claim.step == step && claim.reclaimed) {
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
        Plan best = best(step, waiting, remote, mStopping, now);
        if (best != null && best.cost <= maxLoss) {
            mCluster.dropClaims(step);
            best.places.forEach((w, n) -> w.claims.add(new Claim(step, n, true, now + CLAIM_MS)));
            for (Run victim : best.victims) {
                mCluster.stop(victim, StopReason.RECLAIMED, now);
                if (victim.task.step.plan.gang()) {
                    mCluster.stopGang(victim.task.step, victim.ref.attempt(), now);
                }
            }
        }
    }

    /**
     * Keeps the room that becomes free soonest for a step's waiting tasks until the next round.
     *
     * <p>Rounds go by rank, so kept room binds only steps that come later.
     */
    void keepRoom(StepRun step, List<Task> waiting, boolean remote, long now) {
        Plan best = best(step, waiting, remote, mEnding, now);
        if (best != null) {
            best.places.forEach((w, n) -> w.claims.add(new Claim(step, n, false, now)));
        }
    }

    private Plan best(StepRun step, List<Task> waiting, boolean remote, Yield yield, long now) {
        List<Worker> usable = new ArrayList<>();
        for (Worker worker : mCluster.workers.values()) {
            if (worker.isUsable(now)
                    && Placement.allows(step, worker)
                    && step.mayUse(worker, now)) {
                usable.add(worker);
            }
        }
        Plan best = null;
        for (List<Worker> group : groups(step, usable)) {
            best = better(best, plan(step, waiting.size(), group, yield, now));
        }
        return best == null && remote ? plan(step, waiting.size(), usable, yield, now) : best;
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

    private static Plan plan(StepRun step, int tasks, List<Worker> group, Yield yield, long now) {
        Map<Worker, Integer> places = new LinkedHashMap<>();
        Map<Run, Boolean> victims = new LinkedHashMap<>();
        Map<Worker, Resources> room = new HashMap<>();
        Map<Worker, List<Run>> yielding = new HashMap<>();
        group.forEach(w -> room.put(w, w.freeFor(step).plus(stopping(w))));
        double cost = 0;
        for (int i = 0; i < tasks; i++) {
            Choice best = null;
            for (Worker worker : group) {
                int placed = places.getOrDefault(worker, 0);
                if (!yielding.containsKey(worker) && !fitsNow(step, room.get(worker))) {
                    yielding.put(worker, byCost(step, worker, yield, now));
                }
                List<Run> runs = yielding.getOrDefault(worker, List.of());
                Choice choice =
                        choose(step, worker, room.get(worker), placed, runs, victims, yield, now);
                if (choice != null && (best == null || choice.cost < best.cost)) {
                    best = choice;
                }
            }
            if (best == null) {
                return null;
            }
            Resources left = room.get(best.worker).minus(step.plan.reservedResources());
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

    private static boolean fitsNow(StepRun step, Resources room) {
        return step.plan.reservedResources().fitsIn(room);
    }

    /** What one more task costs on a worker. */
    private record Choice(Worker worker, List<Run> victims, double cost) {}

    private static Choice choose(
            StepRun step,
            Worker worker,
            Resources room,
            int placed,
            List<Run> runs,
            Map<Run, Boolean> victims,
            Yield yield,
            long now) {
        int most = step.plan.maxPerWorker();
        if (most > 0 && worker.runsOf(step) + placed >= most) {
            return null;
        }
        Resources need = step.plan.reservedResources();
        Resources left = room;
        List<Run> chosen = new ArrayList<>();
        double cost = 0;
        if (!need.fitsIn(left)) {
            for (Run run : runs) {
                if (victims.containsKey(run)) {
                    continue;
                }
                left = left.plus(run.room);
                chosen.add(run);
                cost += yield.cost(run, now);
                if (need.fitsIn(left)) {
                    break;
                }
            }
        }
        return need.fitsIn(left) ? new Choice(worker, chosen, cost) : null;
    }

    private static List<Run> byCost(StepRun step, Worker worker, Yield yield, long now) {
        List<Run> runs = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            if (run.phase != Phase.STOPPING && yield.mayYield(step, run)) {
                runs.add(run);
            }
        }
        runs.sort(Comparator.comparingDouble(run -> yield.cost(run, now)));
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

    /** Returns the work of a step's tasks, in core-milliseconds. */
    static double work(StepRun step, long taskMs) {
        return step.plan.count() * cores(step.plan.reservedResources()) * taskMs;
    }

    /** Stops less urgent runs; the cost is the work thrown away, in core-milliseconds. */
    private static final class Stopping implements Yield {
        @Override
        public boolean mayYield(StepRun step, Run run) {
            StepRun other = run.task.step;
            return other.job.queue.priority() > step.job.queue.priority()
                    && other.plan.mayMiss() == 0
                    && !run.task.done;
        }

        @Override
        public double cost(Run run, long now) {
            StepRun step = run.task.step;
            long lost = run.workingSince > 0 ? now - run.workingSince : 0;
            if (step.plan.checkpointing()) {
                lost = Math.min(lost, SAVED_LOSS_MS);
            }
            double loss = cores(run.room) * (lost + 1);
            return step.plan.gang() ? loss * step.plan.count() : loss;
        }
    }

    /** Waits for runs to end; the cost is the time that they still take, in core-milliseconds. */
    private final class Ending implements Yield {
        @Override
        public boolean mayYield(StepRun step, Run run) {
            return !run.task.step.plan.longRunning();
        }

        @Override
        public double cost(Run run, long now) {
            return cores(run.room) * Math.max(OVERDUE_MS, mCluster.remainingMs(run, now));
        }
    }

    private static double cores(Resources room) {
        return room.cpuMillis() / 1_000.0 + room.accelerators() * CORES_PER_ACCELERATOR;
    }
}
