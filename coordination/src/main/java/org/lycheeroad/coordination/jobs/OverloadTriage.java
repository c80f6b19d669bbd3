package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.coordination.overload.OverloadPlanner;
import org.lycheeroad.coordination.overload.RoomForecast;
import org.lycheeroad.coordination.overload.Verdict;
import org.lycheeroad.coordination.overload.WaitingWork;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.Resources;

/**
 * Decides which waiting steps give way when the workers cannot run all of them.
 *
 * <p>While all waiting steps fit beside the running ones, nothing gives way.
 */
final class OverloadTriage {
    /** The share of the workers' resources that gangs and racks leave usable. */
    private static final double USABLE_SHARE = 0.8;

    /** The part of a job's weight that does not depend on its work. */
    private static final double FIXED_WEIGHT = 0.5;

    /** The weight of the newest step in the mean room of its queue's steps. */
    private static final double MEAN_UPDATE = 0.1;

    /** Stands for the remaining time of runs that do not end by themselves: a year. */
    private static final long ENDLESS_MS = 365L * 24 * 3_600 * 1_000;

    private final ClusterState mState;
    private final SchedulingOrder mOrder;

    /** The mean room that the steps of a queue need. */
    private final Map<QueueName, Double> mMeanRoomMs = new HashMap<>();

    private final List<GivenWay> mGivenWay = new ArrayList<>();

    OverloadTriage(ClusterState state, SchedulingOrder order) {
        mState = state;
        mOrder = order;
    }

    /**
     * Returns verdicts on the ready steps that end by themselves, or an empty map if the workers
     * have room for all ready steps now.
     */
    Map<StepInstance, Verdict> judge(List<StepInstance> ready, long nowMs, long wallMs) {
        Resources capacity = Resources.NONE;
        Resources used = Resources.NONE;
        for (Worker worker : mState.workers.values()) {
            if (worker.isInService()) {
                capacity = capacity.plus(worker.entry.capacity());
                used = used.plus(worker.usedResources());
            }
        }
        double neededShare = capacity.shareOf(used);
        for (StepInstance step : ready) {
            neededShare += capacity.shareOf(step.plan.reservedResources()) * step.plan.count();
        }
        if (neededShare <= USABLE_SHARE) {
            return Map.of();
        }
        List<StepInstance> steps = new ArrayList<>();
        List<WaitingWork> waiting = new ArrayList<>();
        for (StepInstance step : ready) {
            if (!step.plan.longRunning()) {
                steps.add(step);
                waiting.add(waitingWork(step, capacity, nowMs, wallMs));
            }
        }
        List<Verdict> verdicts = OverloadPlanner.plan(waiting, forecast(capacity, nowMs), nowMs);
        Map<StepInstance, Verdict> verdictOf = new HashMap<>();
        for (int i = 0; i < steps.size(); i++) {
            verdictOf.put(steps.get(i), verdicts.get(i));
            recordIfWorse(steps.get(i), verdicts.get(i), waiting.get(i), nowMs);
        }
        return verdictOf;
    }

    /** Returns the steps that have had to give way since the last call, each once a verdict. */
    List<GivenWay> takeGivenWay() {
        List<GivenWay> taken = List.copyOf(mGivenWay);
        mGivenWay.clear();
        return taken;
    }

    private RoomForecast forecast(Resources capacity, long nowMs) {
        RoomForecast forecast = new RoomForecast(USABLE_SHARE);
        for (Worker worker : mState.workers.values()) {
            for (Run run : worker.runs.values()) {
                boolean endless = run.task.step.plan.longRunning();
                forecast.addRunning(
                        capacity.shareOf(run.resources),
                        endless ? ENDLESS_MS : mState.remainingMs(run, nowMs));
            }
        }
        return forecast;
    }

    private WaitingWork waitingWork(
            StepInstance step, Resources capacity, long nowMs, long wallMs) {
        Job job = step.job;
        long taskMs = step.expectedMs(mState.durationEstimator);
        double taskShare = capacity.shareOf(step.plan.reservedResources());
        double roomMs = taskShare * step.startableTasks().size() * taskMs;
        double weight =
                PriorityWeights.weightOf(job.queue.priority())
                        * (FIXED_WEIGHT * meanRoomMs(step, roomMs) + (1 - FIXED_WEIGHT) * roomMs);
        long restMs = job.remainingCriticalPathMs(step.occurrence, mState.durationEstimator);
        long laterStepsMs = Math.max(0, restMs - taskMs);
        return new WaitingWork(
                roomMs,
                taskMs,
                weight,
                mOrder.objectiveEndMs(step, nowMs, wallMs) - laterStepsMs,
                mOrder.lastUsefulEndMs(step, nowMs, wallMs) - laterStepsMs);
    }

    /** Returns the mean room of a queue's steps, in which each step counts once. */
    private double meanRoomMs(StepInstance step, double roomMs) {
        QueueName queue = step.job.record.queue();
        double meanMs = mMeanRoomMs.getOrDefault(queue, roomMs);
        if (!step.countedInMeanRoom) {
            step.countedInMeanRoom = true;
            meanMs += MEAN_UPDATE * (roomMs - meanMs);
            mMeanRoomMs.put(queue, meanMs);
        }
        return meanMs;
    }

    private void recordIfWorse(StepInstance step, Verdict verdict, WaitingWork work, long nowMs) {
        if (verdict.compareTo(step.worstVerdict) > 0) {
            step.worstVerdict = verdict;
            mGivenWay.add(
                    new GivenWay(
                            step.job.id,
                            step.occurrence,
                            step.index,
                            step.job.queue.priority(),
                            verdict,
                            work.latestEndMs() - nowMs,
                            work.lastUsefulEndMs() - nowMs));
        }
    }
}
