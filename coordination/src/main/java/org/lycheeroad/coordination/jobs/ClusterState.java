package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkState;

/** The state of jobs, workers and runs, and the basic changes to it. */
final class ClusterState {
    public final Map<WorkerId, Worker> workers = new LinkedHashMap<>();
    public final Map<JobId, Job> activeJobs = new LinkedHashMap<>();
    public final Map<JobId, Job> endedJobs = new LinkedHashMap<>();
    public final Set<Job> unsavedJobs = new LinkedHashSet<>();
    public final RolloutTracker rollout = new RolloutTracker();
    public final DurationEstimator durationEstimator;

    /** The failure domains in which the operators want no more runs to start. */
    private Set<FailureDomainId> mEvacuatedDomains = Set.of();

    public ClusterConfig config = new ClusterConfig(0, List.of(), List.of());
    private List<JobAction> mActions = new ArrayList<>();
    private List<DroppedRun> mDroppedRuns = new ArrayList<>();

    ClusterState(DurationEstimator durations) {
        this.durationEstimator = durations;
    }

    Job findJob(JobId id) {
        Job job = activeJobs.get(id);
        return job == null ? endedJobs.get(id) : job;
    }

    Worker getOrAddWorker(WorkerId id) {
        return workers.computeIfAbsent(id, Worker::new);
    }

    /** Sets the failure domains in which no runs may start. */
    void setEvacuatedDomains(Set<FailureDomainId> domains) {
        mEvacuatedDomains = Set.copyOf(domains);
        workers.values().forEach(this::applyEvacuation);
    }

    /** Keeps new runs off a worker whose failure domain is evacuated, also those reserved for. */
    void applyEvacuation(Worker worker) {
        worker.evacuated =
                worker.entry != null && mEvacuatedDomains.contains(worker.entry.failureDomain());
        if (worker.evacuated) {
            worker.reservations.clear();
        }
    }

    /**
     * Returns the orders issued since the last call.
     *
     * <p>Orders wait while the owner may not send any. A start whose run is over by then is left
     * out, since the task may have been started elsewhere.
     */
    List<JobAction> takeActions() {
        List<JobAction> actions = mActions;
        mActions = new ArrayList<>();
        actions.removeIf(action -> action instanceof JobAction.Start && !hasRun(action));
        return actions;
    }

    private boolean hasRun(JobAction action) {
        Worker worker = workers.get(action.worker());
        return worker != null && worker.runs.containsKey(action.run());
    }

    /** Returns the runs that were dropped since the last call. */
    List<DroppedRun> takeDroppedRuns() {
        List<DroppedRun> dropped = mDroppedRuns;
        mDroppedRuns = new ArrayList<>();
        return dropped;
    }

    /**
     * Returns the expected time until a run ends; 0 for an overdue one. A gang ends with its
     * slowest member.
     */
    long remainingMs(Run run, long nowMs) {
        StepInstance step = run.task.step;
        if (!step.plan.gang()) {
            return remainingWorkMs(run, nowMs);
        }
        long longestMs = 0;
        for (Task member : step.tasks) {
            if (member.run != null && member.run.ref.attempt() == run.ref.attempt()) {
                longestMs = Math.max(longestMs, remainingWorkMs(member.run, nowMs));
            }
        }
        return longestMs;
    }

    private long remainingWorkMs(Run run, long nowMs) {
        if (run.progress.canForecast() || (run.worker.slow && run.progress.isMeasured())) {
            return run.progress.remainingMs(nowMs);
        }
        StepInstance step = run.task.step;
        long expectedMs = step.expectedMs(durationEstimator);
        long elapsedMs = run.runningSinceMs > 0 ? nowMs - run.runningSinceMs : 0;
        long doneMs = Math.max(elapsedMs, expectedMs * run.progress.percent() / 100);
        return Math.max(0, expectedMs - doneMs);
    }

    /** Increments the version of a job's progress and marks it to be saved. */
    void markUnsaved(Job job) {
        job.incrementVersion();
        unsavedJobs.add(job);
    }

    /** Creates a run of a task on a worker; it is started once its record is saved. */
    Run createRun(Task task, Worker worker, int attempt) {
        Run run = new Run(new RunRef(task.ref, attempt), task, worker, Phase.RECORDING);
        run.ticket = task.step.policyDecisions.ticketFor(worker);
        task.attempt = attempt;
        task.run = run;
        worker.add(run);
        return run;
    }

    void sendStart(Run run, long nowMs) {
        Task task = run.task;
        mActions.add(
                new JobAction.Start(
                        run.worker.id,
                        run.workerIncarnation,
                        run.ref,
                        task.step.job.record.plan().spec(),
                        task.step.checkpointFor(task),
                        run.ticket));
        run.lastStartSentAtMs = nowMs;
        run.resumed = !task.step.checkpointFor(task).isEmpty();
        if (run.phase == Phase.RECORDING) {
            run.phase = Phase.STARTING;
            run.firstStartSentAtMs = nowMs;
        }
    }

    /** Stops a run; one whose start was never sent is removed at once. */
    void stopRun(Run run, StopReason reason, long nowMs) {
        if (run.phase == Phase.RECORDING) {
            removeRun(run);
            return;
        }
        if (run.phase != Phase.STOPPING) {
            run.phase = Phase.STOPPING;
            run.confirmedAtMs = Long.MAX_VALUE;
            run.stopReason = reason;
            sendStop(run, nowMs);
        }
    }

    void sendStop(Run run, long nowMs) {
        run.lastStopSentAtMs = nowMs;
        mActions.add(
                new JobAction.Stop(run.worker.id, run.workerIncarnation, run.ref, run.stopReason));
    }

    void sendThrottle(Run run, int percent) {
        mActions.add(
                new JobAction.Throttle(run.worker.id, run.workerIncarnation, run.ref, percent));
    }

    void stopUnrecordedRun(Worker worker, RunRef run) {
        mActions.add(
                new JobAction.Stop(worker.id, worker.incarnation, run, StopReason.NOT_RECORDED));
    }

    /** Removes a run that is known to have ended; its task is pending again unless it is done. */
    void removeRun(Run run) {
        run.worker.remove(run);
        if (run.hasUnansweredStart) {
            run.worker.endedUnansweredStarts.put(run.ref, run.lastStartSentAtMs);
        }
        if (run.isCurrent()) {
            run.task.run = null;
        }
        if (activeJobs.containsKey(run.task.ref.job())) {
            markUnsaved(run.task.step.job);
        }
    }

    /** Removes a run that is taken as over although its worker has not reported its end. */
    void dropRun(Run run, DroppedRun.Cause cause, long nowMs) {
        mDroppedRuns.add(
                new DroppedRun(
                        run.ref,
                        run.worker.id,
                        cause,
                        run.phase.name(),
                        run.firstStartSentAtMs == 0 ? -1 : nowMs - run.lastStartSentAtMs,
                        run.hasUnansweredStart));
        removeRun(run);
    }

    /** Stops the remaining runs of a gang's attempt after one of its runs has ended early. */
    void stopGang(StepInstance step, int attempt, long nowMs) {
        for (Task member : step.tasks) {
            if (member.run != null && member.run.ref.attempt() == attempt) {
                stopRun(member.run, StopReason.GANG_BROKEN, nowMs);
            }
        }
    }

    /** Ends a job and stops its runs. */
    void endJob(Job job, WorkState state, long nowMs) {
        job.state = state;
        job.endedAtMs = nowMs;
        markUnsaved(job);
        activeJobs.remove(job.id);
        endedJobs.put(job.id, job);
        for (List<StepInstance> steps : job.occurrences.values()) {
            for (StepInstance step : steps) {
                for (Task task : step.tasks) {
                    if (task.run != null && !task.done) {
                        stopRun(task.run, StopReason.JOB_ENDED, nowMs);
                    }
                }
                dropReservations(step);
            }
        }
    }

    void dropReservations(StepInstance step) {
        for (Worker worker : workers.values()) {
            worker.reservations.removeIf(reservation -> reservation.step == step);
        }
    }
}
