package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.Resources;

/**
 * Places waiting tasks, best rank first, and makes room for those that do not fit.
 *
 * <p>A step that does not fit may stop less urgent runs or keep the room that becomes free.
 */
final class DecisionRound {
    /** How long before the last useful start an urgent step reclaims room: a stop and a start. */
    private static final long PREEMPTION_LEAD_MS = 900;

    /** How long a step waits for its rack while most workers are idle. */
    private static final long IDLE_RACK_WAIT_MS = 1_500;

    /** How many gangs have room kept for them at a time; more would leave too much idle. */
    private static final int MAX_RESERVED_STEPS = 2;

    /** How long an urgent gang waits before room is kept for it: some ends of short tasks. */
    private static final long URGENT_RESERVE_DELAY_MS = 300;

    /** The share of its objective that another gang waits before room is kept for it. */
    private static final double RESERVE_DELAY_FRACTION = 0.25;

    /** What reclaiming takes at most: two tries of stopping, recording and starting. */
    private static final long MAX_PREEMPTION_MS = 1_300;

    /**
     * To end in time, an urgent step may throw away this many times its own work. Urgent tasks are
     * short: each stop lets several of them end in time.
     */
    private static final double MAX_LOSS_FACTOR = 3;

    private final ClusterState mState;
    private final SchedulerSettings mSettings;
    private final CapacityReclaimer mReclaimer;
    private final SchedulingOrder mOrder;
    private final AdviceRequester mAdviceRequester;

    /** The steps for which room has been kept in this round. */
    private int mReservedSteps;

    DecisionRound(
            ClusterState cluster,
            SchedulerSettings settings,
            SchedulingOrder order,
            AdviceRequester advice) {
        mState = cluster;
        mSettings = settings;
        mAdviceRequester = advice;
        mReclaimer = new CapacityReclaimer(cluster);
        mOrder = order;
    }

    /** Assigns workers to the tasks that fit; {@code wallMs} is the time of day. */
    void run(long nowMs, long wallMs) {
        mReclaimer.dropExpiredReservations(nowMs);
        List<StepInstance> waiting = readySteps(nowMs, wallMs);
        Set<Job> guaranteed = guaranteedJobs();
        Map<StepInstance, SchedulingOrder.Rank> ranks = new HashMap<>();
        for (StepInstance step : waiting) {
            boolean first = step.index == 0 && guaranteed.contains(step.job);
            ranks.put(step, mOrder.rank(step, first, nowMs, wallMs));
        }
        waiting.sort(Comparator.comparing(ranks::get));
        mReservedSteps = 0;
        for (StepInstance step : waiting) {
            placeStep(step, guaranteed.contains(step.job), nowMs, wallMs);
        }
    }

    private List<StepInstance> readySteps(long nowMs, long wallMs) {
        List<StepInstance> waiting = new ArrayList<>();
        for (Job job : mState.activeJobs.values()) {
            job.addDueOccurrences(wallMs);
            for (List<StepInstance> steps : job.occurrences.values()) {
                for (StepInstance step : steps) {
                    if (step.hasStartableTasks() && job.isReady(step)) {
                        if (step.readySinceMs < 0) {
                            step.readySinceMs = nowMs;
                        }
                        waiting.add(step);
                    }
                }
            }
        }
        return waiting;
    }

    /** Returns the urgent jobs that fit into their teams' guarantees, oldest first. */
    private Set<Job> guaranteedJobs() {
        Map<TeamId, Integer> used = new HashMap<>();
        Set<Job> guaranteed = new HashSet<>();
        for (Job job : mState.activeJobs.values()) {
            if (job.queue.priority() == 0) {
                int need = used.merge(job.record.team(), maxAccelerators(job), Integer::sum);
                if (need <= mState.config.guaranteed(job.record.team())) {
                    guaranteed.add(job);
                } else {
                    used.merge(job.record.team(), -maxAccelerators(job), Integer::sum);
                }
            }
        }
        return guaranteed;
    }

    /** Returns the most accelerators that a job uses at a time. */
    private static int maxAccelerators(Job job) {
        int most = 0;
        for (var step : job.record.plan().steps()) {
            most = Math.max(most, step.count() * step.need().accelerators());
        }
        return most;
    }

    private void placeStep(StepInstance step, boolean guaranteed, long nowMs, long wallMs) {
        List<Task> tasks = step.startableTasks();
        if (tasks.isEmpty()) {
            return;
        }
        boolean remote = mayRunRemotely(step, guaranteed, nowMs, wallMs);
        Collection<Worker> workers = mState.workers.values();
        Map<Task, Worker> places = Placement.place(step, tasks, workers, remote, nowMs);
        int attempt = 0;
        for (Map.Entry<Task, Worker> place : places.entrySet()) {
            Task task = place.getKey();
            attempt = step.plan.gang() && attempt > 0 ? attempt : step.nextAttempt(task);
            mState.createRun(task, place.getValue(), attempt);
            consumeReservation(place.getValue(), step);
        }
        if (!places.isEmpty()) {
            mState.markUnsaved(step.job);
            boolean away = Placement.isRemote(step, places.values());
            for (Task task : places.keySet()) {
                task.run.recordVersion = step.job.version;
                task.run.remote = away;
            }
        }
        if (places.size() < tasks.size()) {
            mAdviceRequester.request(step, tasks.size() - places.size(), nowMs);
        }
        if (places.size() < tasks.size() && !mReclaimer.hasPreemptedFor(step)) {
            double loss = maxLossCoreMs(step, guaranteed, nowMs, wallMs);
            if (loss >= 0) {
                mReclaimer.preempt(step, step.startableTasks(), remote, loss, nowMs);
            }
            if (shouldReserve(step, nowMs)) {
                mReservedSteps++;
                mReclaimer.reserve(step, step.startableTasks(), remote, nowMs);
            }
        }
    }

    /** Returns whether a step may run away from its data or across racks. */
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

    /** Returns whether the workers that a step may use have more room free than in use. */
    private boolean isMostlyIdle(StepInstance step) {
        Resources capacity = Resources.NONE;
        Resources used = Resources.NONE;
        for (Worker worker : mState.workers.values()) {
            if (worker.registered && Placement.isEligible(step, worker)) {
                capacity = capacity.plus(worker.entry.capacity());
                used = used.plus(worker.usedResources());
            }
        }
        return used.times(2).fitsIn(capacity);
    }

    /** Returns the most work that may be thrown away for a step now, in core-milliseconds. */
    private double maxLossCoreMs(StepInstance step, boolean guaranteed, long nowMs, long wallMs) {
        if (guaranteed && nowMs - step.readySinceMs >= mSettings.reclaimMs() - MAX_PREEMPTION_MS) {
            return Double.MAX_VALUE;
        }
        if (step.job.queue.priority() > 0) {
            return -1;
        }
        long latest = mOrder.latestStartMs(step, nowMs, wallMs);
        boolean lastMoment = latest >= nowMs && latest - nowMs < PREEMPTION_LEAD_MS;
        long expected = mState.durationEstimator.expectedMs(step.job.record.queue(), step.plan);
        return guaranteed || lastMoment
                ? MAX_LOSS_FACTOR * CapacityReclaimer.workCoreMs(step, expected)
                : -1;
    }

    /** Returns whether smaller steps should leave a gang the room that becomes free. */
    private boolean shouldReserve(StepInstance step, long nowMs) {
        if (!step.plan.gang()
                || mReservedSteps >= MAX_RESERVED_STEPS
                || mReclaimer.hasPreemptedFor(step)) {
            return false;
        }
        long patience =
                step.job.queue.priority() == 0
                        ? URGENT_RESERVE_DELAY_MS
                        : Math.round(RESERVE_DELAY_FRACTION * mOrder.objectiveMs(step.job));
        return nowMs - step.readySinceMs > patience;
    }

    private static void consumeReservation(Worker worker, StepInstance step) {
        for (Worker.Reservation claim : worker.reservations) {
            if (claim.step == step) {
                claim.taskCount--;
            }
        }
        worker.reservations.removeIf(claim -> claim.taskCount <= 0);
    }
}
