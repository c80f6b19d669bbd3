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
    private static final long RECLAIM_BEFORE_MS = 900;

    /** How long a step waits for its rack while most workers are idle. */
    private static final long IDLE_WAIT_MS = 1_500;

    /** How many gangs have room kept for them at a time; more would leave too much idle. */
    private static final int KEEPING_STEPS = 2;

    /** How long an urgent gang waits before room is kept for it: some ends of short tasks. */
    private static final long URGENT_PATIENCE_MS = 300;

    /** The share of its objective that another gang waits before room is kept for it. */
    private static final double PATIENCE_SHARE = 0.25;

    /** What reclaiming takes at most: two tries of stopping, recording and starting. */
    private static final long RECLAIM_TAKES_MS = 1_300;

    /**
     * To end in time, an urgent step may throw away this many times its own work. Urgent tasks are
     * short: each stop lets several of them end in time.
     */
    private static final double LOSS_SHARE = 3;

    private final Cluster mCluster;
    private final SchedulerSettings mSettings;
    private final Reclaim mReclaim;
    private final ServiceOrder mOrder;
    private final PolicyAdvice mAdvice;

    /** The steps for which room has been kept in this round. */
    private int mRoomKept;

    DecisionRound(
            Cluster cluster, SchedulerSettings settings, ServiceOrder order, PolicyAdvice advice) {
        mCluster = cluster;
        mSettings = settings;
        mAdvice = advice;
        mReclaim = new Reclaim(cluster);
        mOrder = order;
    }

    /** Assigns workers to the tasks that fit; {@code wallMs} is the time of day. */
    void place(long now, long wallMs) {
        mReclaim.expire(now);
        List<StepRun> waiting = waitingSteps(now, wallMs);
        Set<Job> guaranteed = guaranteedJobs();
        Map<StepRun, ServiceOrder.Rank> ranks = new HashMap<>();
        for (StepRun step : waiting) {
            boolean first = step.number == 0 && guaranteed.contains(step.job);
            ranks.put(step, mOrder.rank(step, first, now, wallMs));
        }
        waiting.sort(Comparator.comparing(ranks::get));
        mRoomKept = 0;
        for (StepRun step : waiting) {
            placeStep(step, guaranteed.contains(step.job), now, wallMs);
        }
    }

    private List<StepRun> waitingSteps(long now, long wallMs) {
        List<StepRun> waiting = new ArrayList<>();
        for (Job job : mCluster.active.values()) {
            job.addDueOccurrences(wallMs);
            for (List<StepRun> steps : job.occurrences.values()) {
                for (StepRun step : steps) {
                    if (step.hasWaiting() && job.isReady(step)) {
                        if (step.readySince < 0) {
                            step.readySince = now;
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
        for (Job job : mCluster.active.values()) {
            if (job.queue.priority() == 0) {
                int need = used.merge(job.record.team(), accelerators(job), Integer::sum);
                if (need <= mCluster.config.guaranteedAccelerators(job.record.team())) {
                    guaranteed.add(job);
                } else {
                    used.merge(job.record.team(), -accelerators(job), Integer::sum);
                }
            }
        }
        return guaranteed;
    }

    /** Returns the most accelerators that a job uses at a time. */
    private static int accelerators(Job job) {
        int most = 0;
        for (var step : job.record.plan().steps()) {
            most = Math.max(most, step.count() * step.need().accelerators());
        }
        return most;
    }

    private void placeStep(StepRun step, boolean guaranteed, long now, long wallMs) {
        List<Task> tasks = step.waiting();
        if (tasks.isEmpty()) {
            return;
        }
        boolean remote = mayRunRemotely(step, guaranteed, now, wallMs);
        Collection<Worker> workers = mCluster.workers.values();
        Map<Task, Worker> places = Placement.place(step, tasks, workers, remote, now);
        int attempt = 0;
        for (Map.Entry<Task, Worker> place : places.entrySet()) {
            Task task = place.getKey();
            attempt = step.plan.gang() && attempt > 0 ? attempt : step.nextAttempt(task);
            mCluster.assign(task, place.getValue(), attempt);
            useClaim(place.getValue(), step);
        }
        if (!places.isEmpty()) {
            mCluster.touch(step.job);
            boolean away = Placement.isRemote(step, places.values());
            for (Task task : places.keySet()) {
                task.run.recordVersion = step.job.version;
                task.run.remote = away;
            }
        }
        if (places.size() < tasks.size()) {
            mAdvice.ask(step, tasks.size() - places.size(), now);
        }
        if (places.size() < tasks.size() && !mReclaim.hasClaims(step)) {
            double loss = affordableLoss(step, guaranteed, now, wallMs);
            if (loss >= 0) {
                mReclaim.reclaim(step, step.waiting(), remote, loss, now);
            }
            if (mayKeepRoom(step, now)) {
                mRoomKept++;
                mReclaim.keepRoom(step, step.waiting(), remote, now);
            }
        }
    }

    /** Returns whether a step may run away from its data or across racks. */
    private boolean mayRunRemotely(StepRun step, boolean guaranteed, long now, long wallMs) {
        if (guaranteed && now - step.readySince > mSettings.reclaimMs() / 2) {
            return true;
        }
        if (now - step.readySince > IDLE_WAIT_MS && isMostlyIdle(step)) {
            return true;
        }
        return mOrder.shouldRunRemotely(step, mSettings.remoteFactor(), now, wallMs)
                || !Placement.hasRack(step, mCluster.workers.values());
    }

    /** Returns whether the workers that a step may use have more room free than in use. */
    private boolean isMostlyIdle(StepRun step) {
        Resources capacity = Resources.NONE;
        Resources used = Resources.NONE;
        for (Worker worker : mCluster.workers.values()) {
            if (worker.listed && Placement.allows(step, worker)) {
                capacity = capacity.plus(worker.entry.capacity());
                used = used.plus(worker.used());
            }
        }
        return used.times(2).fitsIn(capacity);
    }

    /** Returns the most work that may be thrown away for a step now, in core-milliseconds. */
    private double affordableLoss(StepRun step, boolean guaranteed, long now, long wallMs) {
        if (guaranteed && now - step.readySince >= mSettings.reclaimMs() - RECLAIM_TAKES_MS) {
            return Double.MAX_VALUE;
        }
        if (step.job.queue.priority() > 0) {
            return -1;
        }
        long latest = mOrder.latestStart(step, now, wallMs);
        boolean lastMoment = latest >= now && latest - now < RECLAIM_BEFORE_MS;
        long expected = mCluster.durations.expectedMs(step.job.record.queue(), step.plan);
        return guaranteed || lastMoment ? LOSS_SHARE * Reclaim.work(step, expected) : -1;
    }

    /** Returns whether smaller steps should leave a gang the room that becomes free. */
    private boolean mayKeepRoom(StepRun step, long now) {
        if (!step.plan.gang() || mRoomKept >= KEEPING_STEPS || mReclaim.hasClaims(step)) {
            return false;
        }
        long patience =
                step.job.queue.priority() == 0
                        ? URGENT_PATIENCE_MS
                        : Math.round(PATIENCE_SHARE * mOrder.objectiveMs(step.job));
        return now - step.readySince > patience;
    }

    private static void useClaim(Worker worker, StepRun step) {
        for (Worker.Claim claim : worker.claims) {
            if (claim.step == step) {
                claim.tasks--;
            }
        }
        worker.claims.removeIf(claim -> claim.tasks <= 0);
    }
}
