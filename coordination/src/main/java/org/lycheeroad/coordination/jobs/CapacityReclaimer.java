package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Collection;
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
 * Obtains resources for steps that do not fit, either by preempting runs of lower priority, or of
 * borrowers for guaranteed steps, or by reserving what running tasks will free.
 *
 * <p>Workers are chosen so that the least work is lost or the wait is shortest, within one rack for
 * rack-local steps. Their resources are reserved for the step until the runs there have ended.
 */
final class CapacityReclaimer {
    /**
     * How long a reservation made by preemption lasts before workers are chosen anew. Stopping a
     * run takes about 200-400 ms.
     */
    private static final long RESERVATION_MS = 1_000;

    /** The minimum remaining time that is assumed for a run, even an overdue one. */
    private static final long MIN_REMAINING_MS = 500;

    /**
     * The most that stopping a checkpointing run loses: work since its checkpoint and a restart.
     */
    private static final long MAX_CHECKPOINTED_LOSS_MS = 1_000;

    /** The number of cores that one accelerator is counted as in costs. */
    private static final double CORES_PER_ACCELERATOR = 8;

    /** Decides which runs may free their resources for a step, and at which cost. */
    private interface ReleaseStrategy {
        boolean canRelease(StepInstance step, Run run);

        double releaseCost(Run run, long nowMs);
    }

    private final ClusterState mState;
    private final ReleaseStrategy mPreemption = new Preemption();
    private final ReleaseStrategy mCompletion = new Completion();

    CapacityReclaimer(ClusterState state) {
        mState = state;
    }

    /** Drops reservations without preemption, and those that expired or are no longer needed. */
    void dropExpiredReservations(long nowMs) {
        for (Worker worker : mState.workers.values()) {
            worker.reservations.removeIf(
                    r -> !r.byPreemption || nowMs > r.expiresAtMs || !r.step.awaitsStart());
        }
    }

    /** Returns whether a step has reservations for which runs were preempted. */
    boolean hasPreemptedFor(StepInstance step) {
        for (Worker worker : mState.workers.values()) {
            for (Reservation reservation : worker.reservations) {
                if (reservation.step == step && reservation.byPreemption) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Preempts runs of lower priority for a step's pending tasks and reserves the freed resources
     * for them.
     *
     * @param allowRemote whether the tasks may run on other racks than their data or across racks
     * @param maxLossCoreMs the most work that may be lost, in core-milliseconds
     */
    void preempt(
            StepInstance step,
            List<Task> pending,
            boolean allowRemote,
            double maxLossCoreMs,
            long nowMs) {
        ReclaimPlan best = cheapestPlan(step, pending, allowRemote, mPreemption, nowMs);
        if (best != null && best.cost <= maxLossCoreMs) {
            execute(best, step, nowMs);
        }
    }

    /**
     * As {@link #preempt} for a step of a guaranteed job, whatever work is lost, and also from
     * other teams' urgent jobs beyond their guarantees.
     *
     * @param guaranteedJobs the urgent jobs within their teams' guarantees
     */
    void reclaim(
            StepInstance step,
            List<Task> pending,
            boolean allowRemote,
            Set<Job> guaranteedJobs,
            long nowMs) {
        ReleaseStrategy strategy = new GuaranteeReclaim(guaranteedJobs);
        ReclaimPlan best = cheapestPlan(step, pending, allowRemote, strategy, nowMs);
        if (best != null) {
            execute(best, step, nowMs);
        }
    }

    private void execute(ReclaimPlan plan, StepInstance step, long nowMs) {
        mState.dropReservations(step);
        plan.taskCounts.forEach(
                (w, n) ->
                        w.reservations.add(new Reservation(step, n, true, nowMs + RESERVATION_MS)));
        for (Run victim : plan.victims) {
            mState.stopRun(victim, StopReason.RECLAIMED, nowMs);
            if (victim.task.step.plan.gang()) {
                mState.stopGang(victim.task.step, victim.ref.attempt(), nowMs);
            }
        }
    }

    /**
     * Reserves the resources that will be free soonest for a step's pending tasks, until the next
     * round.
     *
     * <p>A round handles steps by rank, so a reservation only affects steps of a lower rank.
     */
    void reserve(StepInstance step, List<Task> pending, boolean allowRemote, long nowMs) {
        ReclaimPlan best = cheapestPlan(step, pending, allowRemote, mCompletion, nowMs);
        if (best != null) {
            best.taskCounts.forEach(
                    (w, n) -> w.reservations.add(new Reservation(step, n, false, nowMs)));
        }
    }

    private ReclaimPlan cheapestPlan(
            StepInstance step,
            List<Task> pending,
            boolean allowRemote,
            ReleaseStrategy strategy,
            long nowMs) {
        List<Worker> eligible = new ArrayList<>();
        for (Worker worker : mState.workers.values()) {
            if (worker.isSchedulable(nowMs)
                    && Placement.isEligible(step, worker)
                    && step.isAllowedByPolicy(worker, nowMs)) {
                eligible.add(worker);
            }
        }
        ReclaimPlan best = null;
        for (List<Worker> group : workerGroups(step, eligible)) {
            best = cheaper(best, planFor(step, pending.size(), group, strategy, nowMs));
        }
        return best == null && allowRemote
                ? planFor(step, pending.size(), eligible, strategy, nowMs)
                : best;
    }

    /** The number of tasks for each worker, and the runs that have to end first. */
    private record ReclaimPlan(Map<Worker, Integer> taskCounts, Set<Run> victims, double cost) {}

    /** Returns the groups of workers within which all tasks would run at full speed. */
    private static List<List<Worker>> workerGroups(StepInstance step, List<Worker> eligible) {
        String dataRack = step.plan.dataRack();
        boolean oneRack = step.plan.rackLocal() && step.plan.count() > 1;
        if (dataRack.isEmpty() && !oneRack) {
            return List.of(eligible);
        }
        Map<RackId, List<Worker>> racks = new LinkedHashMap<>();
        for (Worker worker : eligible) {
            if (dataRack.isEmpty() || dataRack.equals(worker.entry.rack().value())) {
                racks.computeIfAbsent(worker.entry.rack(), k -> new ArrayList<>()).add(worker);
            }
        }
        return List.copyOf(racks.values());
    }

    private static ReclaimPlan cheaper(ReclaimPlan one, ReclaimPlan other) {
        return one == null || (other != null && other.cost < one.cost) ? other : one;
    }

    private static ReclaimPlan planFor(
            StepInstance step,
            int taskCount,
            List<Worker> group,
            ReleaseStrategy strategy,
            long nowMs) {
        Map<Worker, Integer> taskCounts = new LinkedHashMap<>();
        Map<Run, Boolean> victims = new LinkedHashMap<>();
        Map<Worker, Resources> available = new HashMap<>();
        Map<Worker, List<ReleasableRun>> releasable = new HashMap<>();
        group.forEach(w -> available.put(w, w.resourcesFreeFor(step).plus(stoppingResources(w))));
        double cost = 0;
        for (int i = 0; i < taskCount; i++) {
            Candidate best = null;
            for (Worker worker : group) {
                int placed = taskCounts.getOrDefault(worker, 0);
                if (!releasable.containsKey(worker) && !fits(step, available.get(worker))) {
                    releasable.put(worker, releasableByCost(step, worker, strategy, nowMs));
                }
                List<ReleasableRun> runs = releasable.getOrDefault(worker, List.of());
                Candidate candidate =
                        candidateOn(step, worker, available.get(worker), placed, runs, victims);
                if (candidate != null && (best == null || candidate.cost < best.cost)) {
                    best = candidate;
                }
            }
            if (best == null) {
                return null;
            }
            Resources remaining = available.get(best.worker).minus(step.plan.reservedResources());
            for (Run victim : best.victims) {
                victims.put(victim, true);
                remaining = remaining.plus(victim.resources);
            }
            available.put(best.worker, remaining);
            taskCounts.merge(best.worker, 1, Integer::sum);
            cost += best.cost;
        }
        return new ReclaimPlan(taskCounts, Set.copyOf(victims.keySet()), cost);
    }

    private static boolean fits(StepInstance step, Resources available) {
        return step.plan.reservedResources().fitsIn(available);
    }

    /** A worker for one more task, and the runs that have to end first. */
    private record Candidate(Worker worker, List<Run> victims, double cost) {}

    private static Candidate candidateOn(
            StepInstance step,
            Worker worker,
            Resources available,
            int placed,
            List<ReleasableRun> runs,
            Map<Run, Boolean> victims) {
        int limit = step.plan.maxPerWorker();
        if (limit > 0 && worker.runCountOf(step) + placed >= limit) {
            return null;
        }
        Resources need = step.plan.reservedResources();
        Resources remaining = available;
        List<Run> chosen = new ArrayList<>();
        double cost = 0;
        if (!need.fitsIn(remaining)) {
            for (ReleasableRun releasable : runs) {
                if (victims.containsKey(releasable.run)
                        || !keepsEnoughAtWork(releasable.run, victims.keySet(), chosen)) {
                    continue;
                }
                remaining = remaining.plus(releasable.run.resources);
                chosen.add(releasable.run);
                cost += releasable.cost;
                if (need.fitsIn(remaining)) {
                    break;
                }
            }
        }
        return need.fitsIn(remaining) ? new Candidate(worker, chosen, cost) : null;
    }

    /** A run that can free its resources, and the cost of that. */
    private record ReleasableRun(Run run, double cost) {}

    private static List<ReleasableRun> releasableByCost(
            StepInstance step, Worker worker, ReleaseStrategy strategy, long nowMs) {
        List<ReleasableRun> runs = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            if (run.phase != Phase.STOPPING && strategy.canRelease(step, run)) {
                runs.add(new ReleasableRun(run, strategy.releaseCost(run, nowMs)));
            }
        }
        runs.sort(Comparator.comparingDouble(ReleasableRun::cost));
        return runs;
    }

    /**
     * Returns whether a run may end beside other victims without more tasks of its step being away
     * than the step allows.
     */
    private static boolean keepsEnoughAtWork(
            Run run, Collection<Run> victims, Collection<Run> chosen) {
        StepInstance step = run.task.step;
        if (step.plan.mayMiss() == 0) {
            return true;
        }
        int away = 0;
        for (Task task : step.tasks) {
            if (!isAtWork(task) || victims.contains(task.run) || chosen.contains(task.run)) {
                away++;
            }
        }
        return away < step.plan.mayMiss();
    }

    /**
     * Returns whether a long-running task is at work, on a worker that answers. Its progress is
     * complete once it has started up.
     */
    private static boolean isAtWork(Task task) {
        return task.run != null
                && task.run.phase == Phase.RUNNING
                && task.run.worker.registered
                && !task.run.worker.unresponsive
                && task.run.progress.isComplete();
    }

    private static Resources stoppingResources(Worker worker) {
        Resources total = Resources.NONE;
        for (Run run : worker.runs.values()) {
            if (run.phase == Phase.STOPPING) {
                total = total.plus(run.resources);
            }
        }
        return total;
    }

    /** Returns the work of a step's tasks, in core-milliseconds. */
    static double workCoreMs(StepInstance step, long taskMs) {
        return step.plan.count() * coreEquivalents(step.plan.reservedResources()) * taskMs;
    }

    /** Stops runs of lower priority; the cost is the lost work in core-milliseconds. */
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
            return lostCoreMs(run, nowMs);
        }
    }

    /** Stops runs that borrow guaranteed resources; the cost is the lost work. */
    private static final class GuaranteeReclaim implements ReleaseStrategy {
        private final Set<Job> mGuaranteedJobs;

        GuaranteeReclaim(Set<Job> guaranteedJobs) {
            mGuaranteedJobs = guaranteedJobs;
        }

        @Override
        public boolean canRelease(StepInstance step, Run run) {
            return TeamGuarantees.mayReclaimFrom(run.task.step.job, step.job, mGuaranteedJobs)
                    && !run.task.done;
        }

        @Override
        public double releaseCost(Run run, long nowMs) {
            return lostCoreMs(run, nowMs);
        }
    }

    /** Waits for runs to end; the cost is their remaining work in core-milliseconds. */
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

    /** Returns the work that is lost if a run is stopped, in core-milliseconds. */
    private static double lostCoreMs(Run run, long nowMs) {
        StepInstance step = run.task.step;
        long lostMs = run.runningSinceMs > 0 ? nowMs - run.runningSinceMs : 0;
        if (step.plan.checkpointing()) {
            lostMs = Math.min(lostMs, MAX_CHECKPOINTED_LOSS_MS);
        }
        double loss = coreEquivalents(run.resources) * (lostMs + 1);
        return step.plan.gang() ? loss * step.plan.count() : loss;
    }

    private static double coreEquivalents(Resources resources) {
        return resources.cpuMillis() / 1_000.0 + resources.accelerators() * CORES_PER_ACCELERATOR;
    }
}
