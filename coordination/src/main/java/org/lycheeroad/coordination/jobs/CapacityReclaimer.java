package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
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
 * <p>Workers are chosen so that callers lose least or the wait is shortest, within one rack for
 * rack-local steps. A run counts with all runs that end with it, and with the room that they free.
 * Their resources are reserved for the step until the runs there have ended.
 */
final class CapacityReclaimer {
    /** How long a reservation made by preemption lasts at least before workers are chosen anew. */
    private static final long MIN_RESERVATION_MS = 1_000;

    /** How many times the expected time of a stop a reservation made by preemption lasts. */
    private static final int RESERVATION_STOPS = 2;

    /** The minimum remaining time that is assumed for a run, even an overdue one. */
    private static final long MIN_REMAINING_MS = 500;

    /** How many times the predicted wait for room has to be bearable, as estimates are rough. */
    private static final double WAIT_MARGIN_FACTOR = 1.5;

    /** How much more the stop of a run counts that has not run on since the last one. */
    private static final double REPEATED_STOP_FACTOR = 1_000;

    /** Decides which runs may free their resources for a step, and at which cost. */
    private interface ReleaseStrategy {
        boolean canRelease(StepInstance step, Run run, long nowMs);

        /** Returns the runs that end with a run. */
        List<Run> endingWith(Run run);

        /** Returns the cost of the end of a run and those that end with it. */
        double releaseCost(Run run, long nowMs, long wallMs);
    }

    private final ClusterState mState;
    private final StopLoss mLoss;
    private final StopLatency mStopLatency = new StopLatency();
    private final StopBudget mBudget = new StopBudget();
    private final ReleaseStrategy mPreemption = new Preemption();
    private final ReleaseStrategy mCompletion = new Completion();
    private final ReleaseStrategy mWait = new Wait();

    /** The runs whose ends steps of a higher rank wait for in this round. */
    private final Set<Run> mAwaitedRuns = new HashSet<>();

    CapacityReclaimer(ClusterState state, EndUtility utility) {
        mState = state;
        mLoss = new StopLoss(state, utility);
    }

    /** Begins a round: observes stops that are done and refills the budget. */
    void beginRound(long nowMs) {
        dropExpiredReservations(nowMs);
        mAwaitedRuns.clear();
        mStopLatency.observe(nowMs);
        Resources capacity = Resources.NONE;
        Resources free = Resources.NONE;
        for (Worker worker : mState.workers.values()) {
            if (worker.registered && worker.isInService()) {
                capacity = capacity.plus(worker.entry.capacity());
                free = free.plus(worker.freeResources());
            }
        }
        mBudget.refill(LostWork.coreEquivalents(capacity), freeShare(free, capacity), nowMs);
    }

    /** Returns the expected time from a stop to the start that it allows. */
    long stopMs() {
        return mStopLatency.expectedMs();
    }

    /**
     * Returns the expected time until running tasks leave room for a step's pending tasks, or
     * {@link StopGain#NEVER_MS}. Steps of a lower rank do not count on the same runs.
     */
    long awaitRoom(StepInstance step, List<Task> pending, boolean allowRemote, long nowMs) {
        ReclaimPlan plan = cheapestPlan(step, pending, allowRemote, mWait, nowMs, nowMs);
        if (plan == null) {
            return StopGain.NEVER_MS;
        }
        long waitMs = 0;
        for (Run run : plan.victims) {
            waitMs = Math.max(waitMs, mState.remainingMs(run, nowMs));
        }
        mAwaitedRuns.addAll(plan.victims);
        return Math.round(WAIT_MARGIN_FACTOR * waitMs);
    }

    /** Drops reservations without preemption, and those that expired or are no longer needed. */
    private void dropExpiredReservations(long nowMs) {
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
     * @param maxLoss the most that may be lost, in weighted core-milliseconds
     */
    void preempt(
            StepInstance step,
            List<Task> pending,
            boolean allowRemote,
            double maxLoss,
            long nowMs,
            long wallMs) {
        ReclaimPlan best = cheapestPlan(step, pending, allowRemote, mPreemption, nowMs, wallMs);
        if (best != null && best.cost <= maxLoss && (best.victims.isEmpty() || mBudget.isLeft())) {
            execute(best, step, nowMs);
        }
    }

    /**
     * As {@link #preempt} for a step of a guaranteed job, whatever is lost and left of the budget,
     * and also from other teams' urgent jobs beyond their guarantees.
     *
     * @param guaranteedJobs the urgent jobs within their teams' guarantees
     */
    void reclaim(
            StepInstance step,
            List<Task> pending,
            boolean allowRemote,
            Set<Job> guaranteedJobs,
            long nowMs,
            long wallMs) {
        ReleaseStrategy strategy = new GuaranteeReclaim(guaranteedJobs);
        ReclaimPlan best = cheapestPlan(step, pending, allowRemote, strategy, nowMs, wallMs);
        if (best != null) {
            execute(best, step, nowMs);
        }
    }

    private void execute(ReclaimPlan plan, StepInstance step, long nowMs) {
        mState.dropReservations(step);
        long reservationMs = Math.max(MIN_RESERVATION_MS, RESERVATION_STOPS * stopMs());
        plan.taskCounts.forEach(
                (w, n) ->
                        w.reservations.add(new Reservation(step, n, true, nowMs + reservationMs)));
        Set<StepInstance> brokenGangs = new HashSet<>();
        for (Run victim : plan.victims) {
            mBudget.charge(LostWork.coreMs(victim, mState.durationEstimator, nowMs));
            boolean broken = victim.task.step.plan.gang() && !brokenGangs.add(victim.task.step);
            mState.stopRun(victim, broken ? StopReason.GANG_BROKEN : StopReason.RECLAIMED, nowMs);
            mStopLatency.add(victim);
        }
    }

    /**
     * Reserves the resources that will be free soonest for a step's pending tasks, until the next
     * round.
     *
     * <p>A round handles steps by rank, so a reservation only affects steps of a lower rank.
     */
    void reserve(StepInstance step, List<Task> pending, boolean allowRemote, long nowMs) {
        ReclaimPlan best = cheapestPlan(step, pending, allowRemote, mCompletion, nowMs, nowMs);
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
            long nowMs,
            long wallMs) {
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
            best = cheaper(best, planFor(step, pending.size(), group, strategy, nowMs, wallMs));
        }
        return best == null && allowRemote
                ? planFor(step, pending.size(), eligible, strategy, nowMs, wallMs)
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
            long nowMs,
            long wallMs) {
        Map<Worker, Integer> taskCounts = new LinkedHashMap<>();
        Map<Run, Double> victims = new LinkedHashMap<>();
        Map<Worker, Resources> available = new HashMap<>();
        Map<Worker, List<ReleasableRun>> releasable = new HashMap<>();
        group.forEach(w -> available.put(w, w.resourcesFreeFor(step).plus(stoppingResources(w))));
        for (int i = 0; i < taskCount; i++) {
            Candidate best = null;
            for (Worker worker : group) {
                int placed = taskCounts.getOrDefault(worker, 0);
                if (!releasable.containsKey(worker) && !fits(step, available.get(worker))) {
                    releasable.put(worker, releasableByCost(step, worker, strategy, nowMs, wallMs));
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
            for (ReleasableRun chosen : best.victims) {
                for (Run victim : strategy.endingWith(chosen.run)) {
                    victims.put(victim, victim == chosen.run ? chosen.cost : 0);
                    available.computeIfPresent(
                            victim.worker, (w, free) -> free.plus(victim.resources));
                }
            }
            available.compute(best.worker, (w, free) -> free.minus(step.plan.reservedResources()));
            taskCounts.merge(best.worker, 1, Integer::sum);
        }
        dropNeedlessVictims(strategy, victims, available);
        double cost = 0;
        for (double victimCost : victims.values()) {
            cost += victimCost;
        }
        return new ReclaimPlan(taskCounts, new LinkedHashSet<>(victims.keySet()), cost);
    }

    /** Spares runs, the dearest first, without which the planned tasks fit too. */
    private static void dropNeedlessVictims(
            ReleaseStrategy strategy, Map<Run, Double> victims, Map<Worker, Resources> available) {
        List<Run> dearestFirst = new ArrayList<>(victims.keySet());
        dearestFirst.sort(Comparator.comparingDouble((Run run) -> -victims.get(run)));
        for (Run victim : dearestFirst) {
            if (!victims.containsKey(victim) || victims.get(victim) == 0) {
                continue;
            }
            Map<Worker, Resources> left = new HashMap<>();
            List<Run> spared = strategy.endingWith(victim);
            for (Run run : spared) {
                Resources free = left.getOrDefault(run.worker, available.get(run.worker));
                if (free != null) {
                    left.put(run.worker, free.minus(run.resources));
                }
            }
            if (left.values().stream().allMatch(Resources.NONE::fitsIn)) {
                available.putAll(left);
                spared.forEach(victims::remove);
            }
        }
    }

    private static boolean fits(StepInstance step, Resources available) {
        return step.plan.reservedResources().fitsIn(available);
    }

    /** A worker for one more task, and the runs that have to end first. */
    private record Candidate(Worker worker, List<ReleasableRun> victims, double cost) {}

    private static Candidate candidateOn(
            StepInstance step,
            Worker worker,
            Resources available,
            int placed,
            List<ReleasableRun> runs,
            Map<Run, Double> victims) {
        int limit = step.plan.maxPerWorker();
        if (limit > 0 && worker.runCountOf(step) + placed >= limit) {
            return null;
        }
        Resources need = step.plan.reservedResources();
        Resources remaining = available;
        List<ReleasableRun> chosen = new ArrayList<>();
        double cost = 0;
        if (!need.fitsIn(remaining)) {
            for (ReleasableRun releasable : runs) {
                if (victims.containsKey(releasable.run)
                        || !keepsEnoughAtWork(releasable.run, victims.keySet(), chosen)) {
                    continue;
                }
                remaining = remaining.plus(releasable.resources);
                chosen.add(releasable);
                cost += releasable.cost;
                if (need.fitsIn(remaining)) {
                    break;
                }
            }
        }
        return need.fitsIn(remaining) ? new Candidate(worker, chosen, cost) : null;
    }

    /**
     * A run that can free its resources, and the cost of that.
     *
     * @param resources the resources of all runs on its worker that end with it
     */
    private record ReleasableRun(Run run, Resources resources, double cost) {}

    private static List<ReleasableRun> releasableByCost(
            StepInstance step, Worker worker, ReleaseStrategy strategy, long nowMs, long wallMs) {
        List<ReleasableRun> runs = new ArrayList<>();
        Set<Run> covered = new HashSet<>();
        for (Run run : worker.runs.values()) {
            if (run.phase == Phase.STOPPING
                    || covered.contains(run)
                    || !strategy.canRelease(step, run, nowMs)) {
                continue;
            }
            Resources resources = Resources.NONE;
            for (Run ending : strategy.endingWith(run)) {
                if (ending.worker == worker && covered.add(ending)) {
                    resources = resources.plus(ending.resources);
                }
            }
            runs.add(new ReleasableRun(run, resources, strategy.releaseCost(run, nowMs, wallMs)));
        }
        runs.sort(Comparator.comparingDouble(ReleasableRun::cost));
        return runs;
    }

    /**
     * Returns whether a run may end beside other victims without more tasks of its step being away
     * than the step allows.
     */
    private static boolean keepsEnoughAtWork(
            Run run, Collection<Run> victims, Collection<ReleasableRun> chosen) {
        StepInstance step = run.task.step;
        if (step.plan.mayMiss() == 0) {
            return true;
        }
        int away = 0;
        for (Task task : step.tasks) {
            if (!isAtWork(task)
                    || victims.contains(task.run)
                    || chosen.stream().anyMatch(other -> other.run == task.run)) {
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

    /** Returns the free share of the scarcest resource. */
    private static double freeShare(Resources free, Resources capacity) {
        double share =
                Math.min(
                        free.cpuMillis() / Math.max(1.0, capacity.cpuMillis()),
                        free.memoryMb() / Math.max(1.0, capacity.memoryMb()));
        if (capacity.accelerators() > 0) {
            share = Math.min(share, (double) free.accelerators() / capacity.accelerators());
        }
        return Math.max(0, share);
    }

    /** Stops runs; the cost is what callers lose. */
    private abstract class Stop implements ReleaseStrategy {
        @Override
        public List<Run> endingWith(Run run) {
            return LostWork.endingWith(run);
        }

        @Override
        public double releaseCost(Run run, long nowMs, long wallMs) {
            double loss = 1 + mLoss.of(run, stopMs(), nowMs, wallMs);
            return LostWork.hasRunOn(run, mState.durationEstimator, nowMs)
                    ? loss
                    : loss * REPEATED_STOP_FACTOR;
        }
    }

    /** Stops runs of lower priority that have run on since they were stopped last. */
    private final class Preemption extends Stop {
        @Override
        public boolean canRelease(StepInstance step, Run run, long nowMs) {
            StepInstance other = run.task.step;
            return other.job.queue.priority() > step.job.queue.priority()
                    && other.plan.mayMiss() == 0
                    && !run.task.done
                    && run.phase != Phase.UNCONFIRMED
                    && LostWork.hasRunOn(run, mState.durationEstimator, nowMs);
        }
    }

    /** Stops runs that borrow guaranteed resources. */
    private final class GuaranteeReclaim extends Stop {
        private final Set<Job> mGuaranteedJobs;

        GuaranteeReclaim(Set<Job> guaranteedJobs) {
            mGuaranteedJobs = guaranteedJobs;
        }

        @Override
        public boolean canRelease(StepInstance step, Run run, long nowMs) {
            return TeamGuarantees.mayReclaimFrom(run.task.step.job, step.job, mGuaranteedJobs)
                    && !run.task.done;
        }
    }

    /** Waits for runs to end; the cost is their remaining work in core-milliseconds. */
    private class Completion implements ReleaseStrategy {
        @Override
        public boolean canRelease(StepInstance step, Run run, long nowMs) {
            return !run.task.step.plan.longRunning();
        }

        @Override
        public List<Run> endingWith(Run run) {
            return List.of(run);
        }

        @Override
        public double releaseCost(Run run, long nowMs, long wallMs) {
            return LostWork.coreEquivalents(run.resources)
                    * Math.max(MIN_REMAINING_MS, mState.remainingMs(run, nowMs));
        }
    }

    /** Waits for runs that no step of a higher rank waits for; the cost is their remaining time. */
    private final class Wait extends Completion {
        @Override
        public boolean canRelease(StepInstance step, Run run, long nowMs) {
            return super.canRelease(step, run, nowMs) && !mAwaitedRuns.contains(run);
        }

        @Override
        public List<Run> endingWith(Run run) {
            return LostWork.endingWith(run);
        }

        @Override
        public double releaseCost(Run run, long nowMs, long wallMs) {
            return Math.max(MIN_REMAINING_MS, mState.remainingMs(run, nowMs));
        }
    }
}
