package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.ServiceLoad;
import org.lycheeroad.state.work.ServiceLoad.CommittedWork;
import org.lycheeroad.state.work.ServiceLoad.TeamLoad;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.StepPlan;

/**
 * Summarizes the load of each service for decisions about new jobs.
 *
 * <p>What is not known for sure counts as room: workers that have not been polled or are in
 * quarantine, and work that only some of the workers can do.
 */
final class LoadSummarizer {
    /** The last useful ends of jobs are rounded up to powers of this factor. */
    private static final double END_RATIO = 1.25;

    /** The ends up to which no distinction is made. */
    private static final double SHORTEST_END_MS = 1_000;

    /** The most free shapes that are told apart. */
    private static final int MAX_FREE_SHAPES = 8;

    private final ClusterState mState;
    private final SchedulingOrder mOrder;

    LoadSummarizer(ClusterState state, SchedulingOrder order) {
        mState = state;
        mOrder = order;
    }

    /** Returns the load of all services that have workers. */
    List<ServiceLoad> summarize(long nowMs, long wallMs) {
        Map<ServiceName, Totals> services = new LinkedHashMap<>();
        for (Worker worker : mState.workers.values()) {
            if (worker.entry != null && worker.isInService()) {
                services.computeIfAbsent(worker.entry.service(), k -> new Totals()).add(worker);
            }
        }
        for (Job job : mState.activeJobs.values()) {
            Totals totals = services.get(job.queue.service());
            if (totals != null) {
                totals.team(job.record.team()).add(job);
                addWork(job, totals, nowMs, wallMs);
            }
        }
        List<ServiceLoad> loads = new ArrayList<>();
        services.forEach((service, totals) -> loads.add(totals.toLoad(service)));
        return loads;
    }

    private void addWork(Job job, Totals totals, long nowMs, long wallMs) {
        for (List<StepInstance> steps : job.occurrences.values()) {
            for (StepInstance step : steps) {
                StepPlan plan = step.plan;
                if (plan.longRunning() || !plan.requiredLabel().isEmpty() || step.isDone()) {
                    continue;
                }
                long endsInMs = mOrder.lastUsefulEndMs(step, nowMs, wallMs) - nowMs;
                long restMs =
                        job.remainingCriticalPathMs(step.occurrence, mState.durationEstimator);
                if (endsInMs >= restMs) {
                    totals.workUntil(job.queue.priority(), endsInMs)
                            .add(plan.reservedResources(), remainingTaskMs(step, nowMs));
                }
            }
        }
    }

    /** Returns the sum of the remaining durations of a step's tasks. */
    private double remainingTaskMs(StepInstance step, long nowMs) {
        double expectedMs = step.expectedMs(mState.durationEstimator);
        double gangMs = -1;
        double sumMs = 0;
        for (Task task : step.tasks) {
            if (task.done) {
                continue;
            }
            if (task.run == null) {
                sumMs += expectedMs;
            } else if (!step.plan.gang()) {
                sumMs += mState.remainingMs(task.run, nowMs);
            } else {
                gangMs = gangMs < 0 ? mState.remainingMs(task.run, nowMs) : gangMs;
                sumMs += gangMs;
            }
        }
        return sumMs;
    }

    /** Quantities of resources, multiplied by a time. */
    private static final class Work {
        private double mCpu;
        private double mMemory;
        private double mAccelerators;

        void add(Resources resources, double factor) {
            mCpu += resources.cpuMillis() * factor;
            mMemory += resources.memoryMb() * factor;
            mAccelerators += resources.accelerators() * factor;
        }

        /** Returns the largest share that this takes of any resource. */
        double largestShareOf(Resources whole) {
            return Math.max(
                    share(mCpu, whole.cpuMillis()),
                    Math.max(
                            share(mMemory, whole.memoryMb()),
                            share(mAccelerators, whole.accelerators())));
        }

        CommittedWork toCommittedWork(int priority, long endsInMs, Resources room) {
            return new CommittedWork(
                    priority,
                    endsInMs,
                    Math.round(share(mCpu, room.cpuMillis())),
                    Math.round(share(mMemory, room.memoryMb())),
                    Math.round(share(mAccelerators, room.accelerators())));
        }

        private static double share(double part, int whole) {
            return whole <= 0 ? 0 : part / whole;
        }
    }

    private static final class TeamTotals {
        private final Work mUsed = new Work();
        private int mUrgentAccelerators;

        void add(Job job) {
            if (job.queue.priority() == 0) {
                int most = 0;
                for (StepPlan step : job.record.plan().steps()) {
                    most = Math.max(most, step.count() * step.need().accelerators());
                }
                mUrgentAccelerators += most;
            }
        }
    }

    private static final class Totals {
        private final List<Resources> mFreeShapes = new ArrayList<>();
        private final Map<TeamId, TeamTotals> mTeams = new HashMap<>();
        private final TreeMap<Integer, TreeMap<Long, Work>> mWork = new TreeMap<>();
        private Resources mCapacity = Resources.NONE;
        private Resources mLongRunning = Resources.NONE;

        void add(Worker worker) {
            mCapacity = mCapacity.plus(worker.entry.capacity());
            addFreeShape(worker.freeResources());
            for (Run run : worker.runs.values()) {
                StepInstance step = run.task.step;
                team(step.job.record.team()).mUsed.add(run.resources, 1);
                if (step.plan.longRunning()) {
                    mLongRunning = mLongRunning.plus(run.resources);
                }
            }
        }

        TeamTotals team(TeamId team) {
            return mTeams.computeIfAbsent(team, k -> new TeamTotals());
        }

        /** Returns the work of a priority whose results are useful up to a time. */
        Work workUntil(int priority, long endsInMs) {
            double exponent = Math.log(endsInMs / SHORTEST_END_MS) / Math.log(END_RATIO);
            double roundedMs = SHORTEST_END_MS * Math.pow(END_RATIO, Math.ceil(exponent));
            long untilMs = Math.round(Math.max(SHORTEST_END_MS, roundedMs));
            return mWork.computeIfAbsent(priority, k -> new TreeMap<>())
                    .computeIfAbsent(untilMs, k -> new Work());
        }

        private void addFreeShape(Resources free) {
            for (Resources other : mFreeShapes) {
                if (free.fitsIn(other)) {
                    return;
                }
            }
            mFreeShapes.removeIf(other -> other.fitsIn(free));
            mFreeShapes.add(free);
            if (mFreeShapes.size() > MAX_FREE_SHAPES) {
                Resources hull = mFreeShapes.stream().reduce(free, Totals::max);
                mFreeShapes.clear();
                mFreeShapes.add(hull);
            }
        }

        ServiceLoad toLoad(ServiceName service) {
            Resources room = mCapacity.minus(mLongRunning);
            List<CommittedWork> work = new ArrayList<>();
            mWork.forEach(
                    (priority, byEnd) ->
                            byEnd.forEach(
                                    (endsInMs, w) ->
                                            work.add(w.toCommittedWork(priority, endsInMs, room))));
            List<TeamLoad> teams = new ArrayList<>();
            mTeams.forEach(
                    (team, totals) ->
                            teams.add(
                                    new TeamLoad(
                                            team,
                                            totals.mUsed.largestShareOf(mCapacity),
                                            totals.mUrgentAccelerators)));
            return new ServiceLoad(service, room, mFreeShapes, work, teams);
        }

        private static Resources max(Resources a, Resources b) {
            return new Resources(
                    Math.max(a.cpuMillis(), b.cpuMillis()),
                    Math.max(a.memoryMb(), b.memoryMb()),
                    Math.max(a.accelerators(), b.accelerators()));
        }
    }
}
