package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.work.Resources;

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

    /** How long a step waits for its preferred rack while most resources are idle. */
    private static final long IDLE_RACK_WAIT_MS = 1_500;

    /** The most gangs with reservations in a round; more would leave too many resources idle. */
    private static final int MAX_RESERVED_STEPS = 2;

    /** How long an urgent gang waits before reserving; a few short tasks end in this time. */
    private static final long URGENT_RESERVE_DELAY_MS = 300;

    /** How long other gangs wait before reserving, as a fraction of the job's objective. */
    private static final double RESERVE_DELAY_FRACTION = 0.25;

    /** The longest time from preemption to start: two attempts at stop, save and start. */
    private static final long MAX_PREEMPTION_MS = 1_300;

    private final ClusterState mState;
    private final SchedulerSettings mSettings;
    private final CapacityReclaimer mReclaimer;
    private final SchedulingOrder mOrder;
    private final StopGain mGain;
    private final AdviceRequester mAdviceRequester;

    /** The number of steps with new reservations in this round. */
    private int mReservedSteps;

    DecisionRound(
            ClusterState state,
            SchedulerSettings settings,
            SchedulingOrder order,
            AdviceRequester adviceRequester) {
        mState = state;
        mSettings = settings;
        mAdviceRequester = adviceRequester;
        EndUtility utility = new EndUtility(state, order);
        mReclaimer = new CapacityReclaimer(state, utility);
        mGain = new StopGain(state, utility);
        mOrder = order;
    }

    /**
     * Assigns the pending tasks that fit and obtains resources for others.
     *
     * @param nowMs the time on the owner's steady clock
     * @param wallMs the time of day, in milliseconds since 1970
     */
    void run(long nowMs, long wallMs) {
        mReclaimer.beginRound(nowMs);
        List<StepInstance> ready = readySteps(nowMs, wallMs);
        Set<Job> guaranteed = TeamGuarantees.guaranteedJobs(mState);
        Map<StepInstance, SchedulingOrder.Rank> ranks = new HashMap<>();
        for (StepInstance step : ready) {
            boolean guaranteedStep = step.index == 0 && guaranteed.contains(step.job);
            ranks.put(step, mOrder.rank(step, guaranteedStep, nowMs, wallMs));
        }
        ready.sort(Comparator.comparing(ranks::get));
        mReservedSteps = 0;
        for (StepInstance step : ready) {
            placeStep(step, guaranteed, nowMs, wallMs);
        }
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
        boolean allowRemote = mayRunRemotely(step, guaranteed, nowMs, wallMs);
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
            mAdviceRequester.request(step, tasks.size() - assignments.size(), nowMs);
        }
        if (assignments.size() < tasks.size() && !mReclaimer.hasPreemptedFor(step)) {
            List<Task> pending = step.startableTasks();
            boolean waitsForRoom = false;
            if (isReclaimDue(step, guaranteed, nowMs)) {
                mReclaimer.reclaim(step, pending, allowRemote, guaranteedJobs, nowMs, wallMs);
            } else if (mayStopOthers(step, guaranteed, nowMs, wallMs)) {
                double gain = gain(step, pending, allowRemote, guaranteed, nowMs, wallMs);
                waitsForRoom = gain == 0;
                if (!waitsForRoom) {
                    mReclaimer.preempt(step, pending, allowRemote, gain, nowMs, wallMs);
                }
            }
            if (shouldReserve(step, waitsForRoom, nowMs)) {
                mReservedSteps++;
                mReclaimer.reserve(step, step.startableTasks(), allowRemote, nowMs);
            }
        }
    }

    /** Returns whether a step may run on other racks than its data or across racks. */
    private boolean mayRunRemotely(StepInstance step, boolean guaranteed, long nowMs, long wallMs) {
        if (guaranteed && nowMs - step.readySinceMs > mSettings.reclaimMs() / 2) {
            return true;
        }
        if (nowMs - step.readySinceMs > IDLE_RACK_WAIT_MS && isMostlyIdle(step)) {
            return true;
        }
        return mOrder.shouldRunRemotely(step, mSettings.remoteFactor(), nowMs, wallMs)
                || !Placement.canRackHold(step, mState.workers.values());
    }

    /** Returns whether at most half of each resource of the step's eligible workers is in use. */
    private boolean isMostlyIdle(StepInstance step) {
        Resources capacity = Resources.NONE;
        Resources used = Resources.NONE;
        for (Worker worker : mState.workers.values()) {
            if (worker.registered && !worker.evacuated && Placement.isEligible(step, worker)) {
                capacity = capacity.plus(worker.entry.capacity());
                used = used.plus(worker.usedResources());
            }
        }
        return used.times(2).fitsIn(capacity);
    }

    /** Returns whether a step is urgent enough to have runs of lower priority stopped. */
    private boolean mayStopOthers(StepInstance step, boolean guaranteed, long nowMs, long wallMs) {
        if (step.job.queue.priority() > 0) {
            return false;
        }
        long latestMs = mOrder.latestStartMs(step, nowMs, wallMs);
        boolean isStartDue = latestMs >= nowMs && latestMs - nowMs < PREEMPTION_LEAD_MS;
        return guaranteed || isStartDue;
    }

    /** Returns what a step's caller gains if runs are stopped for the step. */
    private double gain(
            StepInstance step,
            List<Task> pending,
            boolean allowRemote,
            boolean guaranteed,
            long nowMs,
            long wallMs) {
        long waitMs = mReclaimer.awaitRoom(step, pending, allowRemote, nowMs);
        long dueInMs = step.readySinceMs + mSettings.reclaimMs() - MAX_PREEMPTION_MS - nowMs;
        // Without room until then, runs are stopped in any case, which loses more later.
        long gainWaitMs = guaranteed && waitMs > dueInMs ? StopGain.NEVER_MS : waitMs;
        return mGain.of(step, gainWaitMs, mReclaimer.stopMs(), nowMs, wallMs);
    }

    /** Returns whether a step has to obtain its resources now to start within its guarantee. */
    private boolean isReclaimDue(StepInstance step, boolean guaranteed, long nowMs) {
        return guaranteed && nowMs - step.readySinceMs >= mSettings.reclaimMs() - MAX_PREEMPTION_MS;
    }

    /**
     * Returns whether a gang should reserve resources, so that smaller steps do not take them.
     *
     * @param waitsForRoom whether runs are not stopped for the step, as room comes by itself
     */
    private boolean shouldReserve(StepInstance step, boolean waitsForRoom, long nowMs) {
        if (!step.plan.gang()
                || mReservedSteps >= MAX_RESERVED_STEPS
                || mReclaimer.hasPreemptedFor(step)) {
            return false;
        }
        long delayMs =
                step.job.queue.priority() == 0
                        ? URGENT_RESERVE_DELAY_MS
                        : Math.round(RESERVE_DELAY_FRACTION * mOrder.objectiveMs(step.job));
        return waitsForRoom || nowMs - step.readySinceMs > delayMs;
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
