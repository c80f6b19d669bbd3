package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.Worker.Reservation;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.work.Resources;

/**
 * Frees room for steps that do not fit: by stopping less urgent runs, or by keeping what becomes
 * free.
 *
 * <p>Room is freed where the least work is lost or the least time passes, on one rack for steps
 * that need one, and is kept for the step until the runs there have ended.
 */
final class CapacityReclaimer {
    /** How long room is kept before the choice is made anew; stops take some 200-400 ms. */
    private static final long RESERVATION_MS = 1_000;

    /** The least time until a run ends that is past its expected time. */
    private static final long MIN_REMAINING_MS = 500;

    /**
     * What a run that saves its progress loses at most: work since the last save, and a restart.
     */
    private static final long MAX_CHECKPOINTED_LOSS_MS = 1_000;

    /** Weighs an accelerator against a core. */
    private static final double CORES_PER_ACCELERATOR = 8;

    /** Which runs may give way, and what that costs. */
    private interface ReleaseStrategy {
        boolean canRelease(StepInstance step, Run run);

        double releaseCost(Run run, long nowMs);
    }

    private final ClusterState mState;
    private final ReleaseStrategy mPreemption = new Preemption();
    private final ReleaseStrategy mCompletion = new Completion();

    CapacityReclaimer(ClusterState cluster) {
        mState = cluster;
    }

    /** Drops claims of the last round, and those on stopped runs that were not used in time. */
    void dropExpiredReservations(long nowMs) {
        for (Worker worker : mState.workers.values()) {
            worker.reservations.removeIf(
                    c -> !c.byPreemption || nowMs > c.expiresAtMs || !c.step.hasStartableTasks());
        }
    }

    /** Returns whether runs are being stopped for a step. */
    boolean hasPreemptedFor(StepInstance step) {
        for (Worker worker : mState.workers.values()) {
            for (Reservation claim : worker.reservations) {
                if (claim.step == step && claim.byPreemption) {
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
    void preempt(StepInstance step, List<Task> waiting, boolean remote, double maxLoss, long nowMs) {
        ReclaimPlan best = cheapestPlan(step, waiting, remote, mPreemption, nowMs);
        if (best != null && best.cost <= maxLoss) {
            mState.dropReservations(step);
            best.taskCounts.forEach(
                    (w, n) ->
                            w.reservations.add(
                                    new Reservation(step, n, true, nowMs + RESERVATION_MS)));
            for (Run victim : best.victims) {
                mState.stopRun(victim, StopReason.RECLAIMED, nowMs);
                if (victim.task.step.plan.gang()) {
                    mState.stopGang(victim.task.step, victim.ref.attempt(), nowMs);
                }
            }
        }
    }

    /**
     * Keeps the room that becomes free soonest for a step's waiting tasks until the next round.
     *
     * <p>Rounds go by rank, so kept room binds only steps that come later.
     */
    void reserve(StepInstance step, List<Task> waiting, boolean remote, long nowMs) {
        ReclaimPlan best = cheapestPlan(step, waiting, remote, mCompletion, nowMs);
        if (best != null) {
            best.taskCounts.forEach(
                    (w, n) -> w.reservations.add(new Reservation(step, n, false, nowMs)));
        }
    }

    private ReclaimPlan cheapestPlan(
            StepInstance step,
            List<Task> waiting,
            boolean remote,
            ReleaseStrategy yield,
            long nowMs) {
        List<Worker> usable = new ArrayList<>();
        for (Worker worker : mState.workers.values()) {
            if (worker.isSchedulable(nowMs)
                    && Placement.isEligible(step, worker)
                    && step.isAllowedByPolicy(worker, nowMs)) {
                usable.add(worker);
            }
        }
        ReclaimPlan best = null;
        for (List<Worker> group : workerGroups(step, usable)) {
            best = cheaper(best, planFor(step, waiting.size(), group, yield, nowMs));
        }
        return best == null && remote ? planFor(step, waiting.size(), usable, yield, nowMs) : best;
    }

    /** Where the tasks go and what is stopped for them. */
    private record ReclaimPlan(Map<Worker, Integer> taskCounts, Set<Run> victims, double cost) {}

    /** The workers among which all tasks must be placed to run at full speed. */
    private static List<List<Worker>> workerGroups(StepInstance step, List<Worker> usable) {
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

    private static ReclaimPlan cheaper(ReclaimPlan one, ReclaimPlan other) {
        return one == null || (other != null && other.cost < one.cost) ? other : one;
    }

    private static ReclaimPlan planFor(
            StepInstance step, int tasks, List<Worker> group, ReleaseStrategy yield, long nowMs) {
        Map<Worker, Integer> places = new LinkedHashMap<>();
        Map<Run, Boolean> victims = new LinkedHashMap<>();
        Map<Worker, Resources> room = new HashMap<>();
        Map<Worker, List<Run>> yielding = new HashMap<>();
        group.forEach(w -> room.put(w, w.resourcesFreeFor(step).plus(stoppingResources(w))));
        double cost = 0;
        for (int i = 0; i < tasks; i++) {
            Candidate best = null;
            for (Worker worker : group) {
                int placed = places.getOrDefault(worker, 0);
                if (!yielding.containsKey(worker) && !fits(step, room.get(worker))) {
                    yielding.put(worker, releasableByCost(step, worker, yield, nowMs));
                }
                List<Run> runs = yielding.getOrDefault(worker, List.of());
                Candidate choice =
                        candidateOn(
                                step, worker, room.get(worker), placed, runs, victims, yield, nowMs);
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
                left = left.plus(victim.resources);
            }
            room.put(best.worker, left);
            places.merge(best.worker, 1, Integer::sum);
            cost += best.cost;
        }
        return new ReclaimPlan(places, Set.copyOf(victims.keySet()), cost);
    }

    private static boolean fits(StepInstance step, Resources room) {
        return step.plan.reserved().fitsIn(room);
    }

    /** What one more task costs on a worker. */
    private record Candidate(Worker worker, List<Run> victims, double cost) {}

    private static Candidate candidateOn(
            StepInstance step,
            Worker worker,
            Resources room,
            int placed,
            List<Run> runs,
            Map<Run, Boolean> victims,
            ReleaseStrategy yield,
            long nowMs) {
        int most = step.plan.maxPerWorker();
        if (most > 0 && worker.runCountOf(step) + placed >= most) {
            return null;
        }
        Resources need = step.plan.reserved();
        Resources left = room;
        List<Run> chosen = new ArrayList<>();
        double cost = 0;
        if (!need.fitsIn(left)) {
            for (Run run : runs) {
                if (victims.containsKey(run)) {
                    continue;
                }
                left = left.plus(run.resources);
                chosen.add(run);
                cost += yield.releaseCost(run, nowMs);
                if (need.fitsIn(left)) {
                    break;
                }
            }
        }
        return need.fitsIn(left) ? new Candidate(worker, chosen, cost) : null;
    }

    private static List<Run> releasableByCost(
            StepInstance step, Worker worker, ReleaseStrategy yield, long nowMs) {
        List<Run> runs = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            if (run.phase != Phase.STOPPING && yield.canRelease(step, run)) {
                runs.add(run);
            }
        }
        runs.sort(Comparator.comparingDouble(run -> yield.releaseCost(run, nowMs)));
        return runs;
    }

    private static Resources stoppingResources(Worker worker) {
        Resources room = Resources.NONE;
        for (Run run : worker.runs.values()) {
            if (run.phase == Phase.STOPPING) {
                room = room.plus(run.resources);
            }
        }
        return room;
    }

    /** Returns the work of a step's tasks, in core-milliseconds. */
    static double workCoreMs(StepInstance step, long taskMs) {
        return step.plan.count() * coreEquivalents(step.plan.reserved()) * taskMs;
    }

    /** Stops less urgent runs; the cost is the work thrown away, in core-milliseconds. */
    private static final class Preemption implements ReleaseStrategy {
        @Override
        public boolean canRelease(StepInstance step, Run run) {
            StepInstance other = run.task.step;
            return other.job.queue.priority() > step.job.queue.priority()
                    && other.plan.mayMiss() == 0
                    && !run.task.done;
        }

        @Override
        public double releaseCost(Run run, long nowMs) {
            StepInstance step = run.task.step;
            long lost = run.runningSinceMs > 0 ? nowMs - run.runningSinceMs : 0;
            if (step.plan.checkpointing()) {
                lost = Math.min(lost, MAX_CHECKPOINTED_LOSS_MS);
            }
            double loss = coreEquivalents(run.resources) * (lost + 1);
            return step.plan.gang() ? loss * step.plan.count() : loss;
        }
    }

    /** Waits for runs to end; the cost is the time that they still take, in core-milliseconds. */
    private final class Completion implements ReleaseStrategy {
        @Override
        public boolean canRelease(StepInstance step, Run run) {
            return !run.task.step.plan.longRunning();
        }

        @Override
        public double releaseCost(Run run, long nowMs) {
            return coreEquivalents(run.resources)
                    * Math.max(MIN_REMAINING_MS, mState.remainingMs(run, nowMs));
        }
    }

    private static double coreEquivalents(Resources room) {
        return room.cpuMillis() / 1_000.0 + room.accelerators() * CORES_PER_ACCELERATOR;
    }
}
