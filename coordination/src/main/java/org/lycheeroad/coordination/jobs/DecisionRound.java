package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.coordination.overload.Verdict;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.ServiceName;

/**
 * Assigns pending tasks to workers, best rank first.
 *
 * <p>For a step that does not fit, it may preempt runs of lower priority or reserve the resources
 * that running tasks will free.
 */
final class DecisionRound {
    /**
     * How long before the latest start in time an urgent step may preempt: twice the time of a stop
     * and a start, as runs whose stop would cost little may not be found at once.
     */
    private static final long PREEMPTION_LEAD_MS = 2_000;

    /**
     * How long a step waits beside free resources, for its preferred rack or because they are kept
     * for a gang. Only steps that end by themselves wait longer, while the service is busy.
     */
    private static final long MAX_IDLE_WAIT_MS = 1_500;

    /** The most gangs with reservations in a round; more would leave too many resources idle. */
    private static final int MAX_RESERVED_STEPS = 2;

    /** How long an urgent gang waits before reserving; a few short tasks end in this time. */
    private static final long URGENT_RESERVE_DELAY_MS = 300;

    /** How long other gangs wait before reserving, as a fraction of the job's objective. */
    private static final double RESERVE_DELAY_FRACTION = 0.25;

    /** The longest time from preemption to start: two attempts at stop, save and start. */
    private static final long MAX_PREEMPTION_MS = 1_300;

    /**
     * The most work that an urgent step may discard to end in time, as a multiple of its own work.
     * Urgent tasks are short, so each preempted run lets several of them end in time.
     */
    private static final double MAX_LOSS_FACTOR = 5;

    private final ClusterState mState;
    private final SchedulerSettings mSettings;
    private final CapacityReclaimer mReclaimer;
    private final SchedulingOrder mOrder;
    private final OverloadTriage mTriage;
    private final AdviceRequester mAdviceRequester;

    /** The number of steps with new reservations in this round. */
    private int mReservedSteps;

    DecisionRound(
            ClusterState state,
            SchedulerSettings settings,
            SchedulingOrder order,
            OverloadTriage triage,
            AdviceRequester adviceRequester) {
        mState = state;
        mSettings = settings;
        mAdviceRequester = adviceRequester;
        mReclaimer = new CapacityReclaimer(state);
        mOrder = order;
        mTriage = triage;
    }

    /**
     * Assigns the pending tasks that fit and obtains resources for others.
     *
     * @param nowMs the time on the owner's steady clock
     * @param wallMs the time of day, in milliseconds since 1970
     */
    void run(long nowMs, long wallMs) {
        mReclaimer.dropExpiredReservations(nowMs);
        List<StepInstance> ready = readySteps(nowMs, wallMs);
        Set<Job> guaranteed = TeamGuarantees.guaranteedJobs(mState);
        Map<StepInstance, Verdict> verdicts =
                mSettings.overloadTriage() ? mTriage.judge(ready, nowMs, wallMs) : Map.of();
        Map<StepInstance, SchedulingOrder.Rank> ranks = new HashMap<>();
        for (StepInstance step : ready) {
            boolean guaranteedStep = step.index == 0 && guaranteed.contains(step.job);
            Verdict verdict = verdicts.getOrDefault(step, Verdict.IN_TIME);
            ranks.put(
                    step,
                    guaranteedStep || verdict == Verdict.IN_TIME
                            ? mOrder.rank(step, guaranteedStep, nowMs, wallMs)
                            : mOrder.rankBehind(step, verdict, nowMs, wallMs));
        }
        ready.sort(Comparator.comparing(ranks::get));
        mReservedSteps = 0;
        mAdviceRequester.beginRound();
        for (StepInstance step : ready) {
            placeStep(step, guaranteed, nowMs, wallMs);
        }
        mAdviceRequester.issueRequests(nowMs);
    }

    private List<StepInstance> readySteps(long nowMs, long wallMs) {
        List<StepInstance> ready = new ArrayList<>();
        for (Job job : mState.activeJobs.values()) {
            job.addDueOccurrences(wallMs);
            for (List<StepInstance> steps : job.occurrences.values()) {
                for (StepInstance step : steps) {
                    if (step.hasStartableTasks() && job.isReady(step)) {
                        if (step.readySinceMs < 0) {
                            step.readySinceMs = nowMs;
                        }
                        ready.add(step);
                    }
                }
            }
        }
        return ready;
    }

    private void placeStep(StepInstance step, Set<Job> guaranteedJobs, long nowMs, long wallMs) {
        boolean guaranteed = guaranteedJobs.contains(step.job);
        List<Task> tasks = step.startableTasks();
        if (tasks.isEmpty()) {
            return;
        }
        step.idleWaitIsOver = hasWaitedBesideIdleWorkers(step, nowMs);
        boolean allowRemote =
                step.idleWaitIsOver || mayRunRemotely(step, guaranteed, nowMs, wallMs);
        Map<Task, Worker> assignments = Placement.place(step, tasks, mState, allowRemote, nowMs);
        int attempt = 0;
        for (Map.Entry<Task, Worker> assignment : assignments.entrySet()) {
            Task task = assignment.getKey();
            attempt = step.plan.gang() && attempt > 0 ? attempt : step.nextAttempt(task);
            mState.createRun(task, assignment.getValue(), attempt);
            consumeReservation(assignment.getValue(), step);
        }
        if (!assignments.isEmpty()) {
            mState.markUnsaved(step.job);
            boolean remote = Placement.isRemote(step, assignments.values());
            for (Task task : assignments.keySet()) {
                task.run.recordVersion = step.job.version;
                task.run.remote = remote;
            }
        }
        if (assignments.size() < tasks.size()) {
            mAdviceRequester.addWaiting(step, tasks.size() - assignments.size());
        }
        if (assignments.size() < tasks.size() && !mReclaimer.hasPreemptedFor(step)) {
            double maxLossCoreMs = maxLossCoreMs(step, guaranteed, nowMs, wallMs);
            if (maxLossCoreMs >= 0) {
                mReclaimer.preempt(step, step.startableTasks(), allowRemote, maxLossCoreMs, nowMs);
            }
            if (isReclaimDue(step, guaranteed, nowMs) && !mReclaimer.hasPreemptedFor(step)) {
                mReclaimer.reclaim(step, step.startableTasks(), allowRemote, guaranteedJobs, nowMs);
            }
            if (shouldReserve(step, nowMs)) {
                mReservedSteps++;
                mReclaimer.reserve(step, step.startableTasks(), allowRemote, nowMs);
            }
        }
    }

    /**
     * Returns whether a step has waited for so long that it starts wherever it fits. Steps that end
     * by themselves have to wait longer while the service is busy.
     */
    private boolean hasWaitedBesideIdleWorkers(StepInstance step, long nowMs) {
        return nowMs - step.readySinceMs > MAX_IDLE_WAIT_MS
                && (step.plan.longRunning() || isMostlyIdle(step.job.queue.service()));
    }

    /** Returns whether a step may run on other racks than its data or across racks. */
    private boolean mayRunRemotely(StepInstance step, boolean guaranteed, long nowMs, long wallMs) {
        long waitedMs = nowMs - step.readySinceMs;
        if (guaranteed && waitedMs > mSettings.reclaimMs() / 2) {
            return true;
        }
        if (waitedMs > MAX_IDLE_WAIT_MS
                && !Placement.canRackHoldSoon(step, mState.workers.values(), nowMs)) {
            return true;
        }
        return mOrder.shouldRunRemotely(step, mSettings.remoteFactor(), nowMs, wallMs)
                || !Placement.canRackHold(step, mState.workers.values());
    }

    /**
     * Returns whether at most half of each resource of a service's workers is in use, whichever of
     * them a step may use.
     */
    private boolean isMostlyIdle(ServiceName service) {
        Resources capacity = Resources.NONE;
        Resources used = Resources.NONE;
        for (Worker worker : mState.workers.values()) {
            if (worker.registered && !worker.evacuated && worker.entry.service().equals(service)) {
                capacity = capacity.plus(worker.entry.capacity());
                used = used.plus(worker.usedResources());
            }
        }
        return used.times(2).fitsIn(capacity);
    }

    /**
     * Returns the most work that may be lost to preemption for a step, in core-milliseconds, or -1
     * if the step must not preempt.
     */
    private double maxLossCoreMs(StepInstance step, boolean guaranteed, long nowMs, long wallMs) {
        if (isReclaimDue(step, guaranteed, nowMs)) {
            return Double.MAX_VALUE;
        }
        if (step.job.queue.priority() > 0) {
            return -1;
        }
        long latestMs = mOrder.latestStartMs(step, nowMs, wallMs);
        boolean isStartDue = latestMs >= nowMs && latestMs - nowMs < PREEMPTION_LEAD_MS;
        long expectedMs = step.expectedMs(mState.durationEstimator);
        return guaranteed || isStartDue
                ? MAX_LOSS_FACTOR * CapacityReclaimer.workCoreMs(step, expectedMs)
                : -1;
    }

    /** Returns whether a step has to obtain its resources now to start within its guarantee. */
    private boolean isReclaimDue(StepInstance step, boolean guaranteed, long nowMs) {
        return guaranteed && nowMs - step.readySinceMs >= mSettings.reclaimMs() - MAX_PREEMPTION_MS;
    }

    /** Returns whether a gang should reserve resources, so that smaller steps do not take them. */
    private boolean shouldReserve(StepInstance step, long nowMs) {
        if (!step.plan.gang()
                || mReservedSteps >= MAX_RESERVED_STEPS
                || mReclaimer.hasPreemptedFor(step)) {
            return false;
        }
        long delayMs =
                step.job.queue.priority() == 0
                        ? URGENT_RESERVE_DELAY_MS
                        : Math.round(RESERVE_DELAY_FRACTION * mOrder.objectiveMs(step.job));
        return nowMs - step.readySinceMs > delayMs;
    }

    /** Deducts one assigned task from a step's reservation on a worker. */
    private static void consumeReservation(Worker worker, StepInstance step) {
        for (Worker.Reservation reservation : worker.reservations) {
            if (reservation.step == step) {
                reservation.taskCount--;
            }
        }
        worker.reservations.removeIf(reservation -> reservation.taskCount <= 0);
    }
}
