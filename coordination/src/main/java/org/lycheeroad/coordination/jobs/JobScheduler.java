package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.Worker.UnsavedEnd;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.QueueSettings;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.ServiceLoad;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerStatus;

/**
 * Assigns the tasks of jobs to workers.
 *
 * <p>The scheduler is a state machine: its owner reports events to it and sends the orders that it
 * returns. A run is saved to the store before it is started, so that a later owner knows every run
 * that may exist. The end of a run is saved before it is acknowledged to the worker, which keeps it
 * until then. Times are milliseconds of a steady clock unless stated otherwise.
 */
public final class JobScheduler {
    /** A version of a job's progress that has to be saved to the store. */
    public record UnsavedProgress(JobId job, long version, ProgressRecord progress) {}

    /** Stands for the records of jobs that have ended, of which only the state matters. */
    private static final JobRecord ENDED_JOB =
            new JobRecord(
                    new QueueName(""),
                    new TeamId("none"),
                    new JobPlan("", List.of(StepPlan.unconstrained(1, Resources.NONE, 0)), 0, 0, 0),
                    0);

    private final SchedulerSettings mSettings;
    private final ClusterState mState;
    private final QuarantineYield mQuarantineYield;
    private final RunTracker mTracker;
    private final WorkerEvacuator mEvacuator;
    private final SlowRunMover mSlowRunMover;
    private final AdviceRequester mAdviceRequester;
    private final OverloadTriage mTriage;
    private final DecisionRound mRound;
    private final LoadSummarizer mLoadSummarizer;
    private final StallDetector mStallDetector;

    public JobScheduler(SchedulerSettings settings) {
        this(settings, SchedulingPolicies.standard());
    }

    public JobScheduler(SchedulerSettings settings, SchedulingPolicies policies) {
        mSettings = settings;
        mState = new ClusterState(policies.newEstimator());
        mQuarantineYield = new QuarantineYield(mState);
        mTracker = new RunTracker(mState, settings, new WorkerQuarantine(mState));
        mEvacuator = new WorkerEvacuator(mState);
        mAdviceRequester = new AdviceRequester(mState);
        SchedulingOrder order = policies.newOrder(mState.durationEstimator);
        mSlowRunMover = new SlowRunMover(mState, order);
        mTriage = new OverloadTriage(mState, order);
        mRound = new DecisionRound(mState, settings, order, mTriage, mAdviceRequester);
        mLoadSummarizer = new LoadSummarizer(mState, order);
        mStallDetector = new StallDetector(mState);
    }

    /** Applies a configuration. */
    public void onConfig(ClusterConfig config) {
        mState.config = config;
        for (Job job : mState.activeJobs.values()) {
            config.queue(job.record.queue()).ifPresent(queue -> job.queue = queue.settings());
        }
    }

    /**
     * Sets the failure domains in which no runs may start, all others being open to them. Runs that
     * have started there continue.
     */
    public void onEvacuations(Set<FailureDomainId> domains) {
        mState.setEvacuatedDomains(domains);
    }

    /**
     * Adds an accepted job.
     *
     * @param progress the progress that earlier owners saved, or null
     * @param ageMs the time since the job was accepted
     */
    public void onJob(JobId id, JobRecord record, ProgressRecord progress, long ageMs, long nowMs) {
        if (mState.findJob(id) != null) {
            return;
        }
        Job job = new Job(id, record, queueSettings(record), nowMs - ageMs);
        if (progress != null && progress.state().isEnded()) {
            job.state = progress.state();
            job.endedAtMs = nowMs;
            mState.endedJobs.put(id, job);
        } else {
            mState.activeJobs.put(id, job);
        }
        if (progress != null) {
            progress.tasks().forEach(task -> restore(job, task, nowMs));
            if (!job.state.isEnded()) {
                job.state = progress.tasks().isEmpty() ? progress.state() : WorkState.ACTIVE;
            }
        }
    }

    /** Adds an accepted job whose end is saved and of which no run may exist any more. */
    public void onEndedJob(JobId id, WorkState state, long nowMs) {
        if (mState.findJob(id) == null) {
            Job job = new Job(id, ENDED_JOB, QueueSettings.UNKNOWN, nowMs);
            job.state = state;
            job.endedAtMs = nowMs;
            mState.endedJobs.put(id, job);
        }
    }

    /** Cancels a job unless it has ended. */
    public void onCancel(JobId id, long nowMs) {
        Job job = mState.activeJobs.get(id);
        if (job != null) {
            mState.endJob(job, WorkState.CANCELLED, nowMs);
        }
    }

    /** Adds or updates a worker from its entry in the directory. */
    public void onWorkerEntry(WorkerStatus entry, long nowMs) {
        Worker worker = mState.getOrAddWorker(entry.id());
        if (worker.entry != null && entry.incarnationStartMs() < worker.incarnation) {
            return;
        }
        worker.lastHeartbeatAtMs = nowMs;
        // A repeated read returns the same entry again, whose remaining time has partly passed.
        if (!entry.equals(worker.entry)) {
            worker.leavesAtMs = entry.draining() ? nowMs + entry.remainingMs() : Long.MAX_VALUE;
        }
        worker.entry = entry;
        mState.applyEvacuation(worker);
        worker.registered = true;
        mState.rollout.onEntry(worker, nowMs);
        if (worker.incarnation == 0) {
            worker.incarnation = entry.incarnationStartMs();
            worker.incarnationKnownAtMs = nowMs;
        } else if (entry.incarnationStartMs() > worker.incarnation) {
            // The new incarnation may have received a start already; its first report shows it.
            worker.hasAnswered = false;
        }
    }

    /** Handles a worker's removal from the directory. Its runs last until their lease expires. */
    public void onWorkerUnregistered(WorkerId id) {
        Worker worker = mState.workers.get(id);
        if (worker != null) {
            worker.registered = false;
        }
    }

    /** Handles a poll that the worker did not answer. */
    public void onWorkerUnresponsive(WorkerId id) {
        Worker worker = mState.workers.get(id);
        if (worker != null) {
            worker.unresponsive = true;
        }
    }

    /**
     * Handles a call to a worker that may have extended its lease or acknowledged ends, and that
     * was not answered and so may still be carried out.
     */
    public void onUnansweredCall(WorkerId id, long sentAtMs) {
        Worker worker = mState.workers.get(id);
        if (worker != null) {
            worker.lastUnansweredCallAtMs = Math.max(worker.lastUnansweredCallAtMs, sentAtMs);
        }
    }

    /** Handles the certain expiry of all leases of a worker. */
    public void onLeaseExpired(WorkerId id, long nowMs) {
        Worker worker = mState.workers.get(id);
        if (worker != null) {
            mTracker.onLeaseExpired(worker, nowMs);
        }
    }

    /** Handles an answer by another process at a worker's address, which ends all its runs. */
    public void onWorkerReplaced(WorkerId id, long nowMs) {
        Worker worker = mState.workers.get(id);
        if (worker != null) {
            mTracker.onWorkerReplaced(worker, nowMs);
        }
    }

    /** Applies a worker's run report, which was requested at {@code requestedAtMs}. */
    public void onRunReport(WorkerId id, WorkerRuns runs, long requestedAtMs, long nowMs) {
        Worker worker = mState.workers.get(id);
        if (worker != null) {
            mTracker.onRunReport(worker, runs, requestedAtMs, nowMs);
        }
    }

    /**
     * Notes when a start is sent, which may be long after it was issued; it expires only some time
     * after that.
     */
    public void onStartSent(WorkerId id, RunRef ref, long sentAtMs) {
        Run run = findRun(id, ref);
        if (run != null) {
            run.lastStartSentAtMs = Math.max(run.lastStartSentAtMs, sentAtMs);
        }
    }

    /** Applies the answer to a start order. */
    public void onStartAnswer(WorkerId id, RunRef ref, OrderAnswer answer, long nowMs) {
        if (answer == OrderAnswer.UNKNOWN) {
            onUnansweredCall(id, nowMs);
        }
        Run run = findRun(id, ref);
        if (run != null) {
            mTracker.onStartAnswer(run, answer, nowMs);
        }
    }

    /** Handles a worker's confirmation of a run's speed, in percent of full speed. */
    public void onThrottleConfirmed(WorkerId id, RunRef ref, int percent) {
        Run run = findRun(id, ref);
        if (run != null && run.orderedSpeedPercent == percent) {
            run.confirmedSpeedPercent = percent;
        }
    }

    /** Applies the answer to a stop order. */
    public void onStopAnswer(WorkerId id, RunRef ref, OrderAnswer answer, long nowMs) {
        Run run = findRun(id, ref);
        if (run != null) {
            mTracker.onStopAnswer(run, answer, nowMs);
        }
    }

    /**
     * Applies a placement policy's answer to a request.
     *
     * @param tickets the tickets of the workers that may run the step, or null without an answer
     * @param validMs how long the tickets are valid
     */
    public void onAdvice(
            AdviceRequest request, Map<WorkerId, String> tickets, long validMs, long nowMs) {
        mAdviceRequester.onAnswer(request, tickets, validMs, nowMs);
    }

    /** Handles the save of a version of a job's progress, and starts the runs that it contains. */
    public void onSaved(JobId id, long version, long nowMs) {
        Job job = mState.findJob(id);
        if (job == null) {
            return;
        }
        job.savedVersion = Math.max(job.savedVersion, version);
        for (List<StepInstance> steps : job.occurrences.values()) {
            for (StepInstance step : steps) {
                startSavedRuns(step, nowMs);
            }
        }
    }

    /**
     * Repeats orders that are due, moves runs off draining and slow workers and assigns pending
     * tasks.
     *
     * @param wallMs the time of day, in milliseconds since 1970
     */
    public void runDecisionRound(long nowMs, long wallMs) {
        mTracker.onTick(nowMs);
        mEvacuator.evacuate(nowMs);
        mSlowRunMover.moveRuns(nowMs, wallMs);
        mQuarantineYield.yieldToWaitingSteps(nowMs);
        mRound.run(nowMs, wallMs);
        mStallDetector.check(nowMs);
    }

    /** Returns the orders to send that were issued since the last call. */
    public List<JobAction> takeActions() {
        return mState.takeActions();
    }

    /** Returns the steps that have had to give way under overload since the last call. */
    public List<GivenWay> takeGivenWay() {
        return mTriage.takeGivenWay();
    }

    /** Returns the runs that were taken as over without a reported end since the last call. */
    public List<DroppedRun> takeDroppedRuns() {
        return mState.takeDroppedRuns();
    }

    /** Returns the stalls to report since the last call: steps that wait beside free workers. */
    public List<StalledStep> takeStalledSteps() {
        return mStallDetector.takeStalledSteps();
    }

    /** Returns the requests to placement policies that were issued since the last call. */
    public List<AdviceRequest> takeAdviceRequests() {
        return mAdviceRequester.takeRequests();
    }

    /** Returns the progress of the jobs that have changed since the last call. */
    public List<UnsavedProgress> takeUnsavedProgress() {
        List<UnsavedProgress> unsaved = new ArrayList<>();
        for (Job job : mState.unsavedJobs) {
            unsaved.add(new UnsavedProgress(job.id, job.version, job.toProgressRecord()));
        }
        mState.unsavedJobs.clear();
        return unsaved;
    }

    /** Returns whether unsaved progress holds up the start of a run or the end of a job. */
    public boolean hasUrgentUnsavedProgress() {
        for (Job job : mState.unsavedJobs) {
            if (job.state.isEnded()) {
                return true;
            }
            for (List<StepInstance> steps : job.occurrences.values()) {
                for (StepInstance step : steps) {
                    for (Task task : step.tasks) {
                        if (task.run != null && task.run.phase == Phase.RECORDING) {
                            return true;
                        }
                    }
                }
            }
        }
        return false;
    }

    /** Returns a job's state as shown to callers; an end is shown only after it is saved. */
    public Optional<WorkState> stateOf(JobId id) {
        Job job = mState.findJob(id);
        if (job == null) {
            return Optional.empty();
        }
        if (job.state.isEnded() && !job.isSaved()) {
            return Optional.of(WorkState.ACTIVE);
        }
        return Optional.of(job.state);
    }

    /** Returns the number of a queue's jobs of which no task has started. */
    public int queuedJobCount(QueueName queue) {
        int count = 0;
        for (Job job : mState.activeJobs.values()) {
            if (job.state == WorkState.QUEUED && job.record.queue().equals(queue)) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the load of all services that have workers.
     *
     * @param wallMs the time of day, in milliseconds since 1970
     */
    public List<ServiceLoad> summarizeLoad(long nowMs, long wallMs) {
        return mLoadSummarizer.summarize(nowMs, wallMs);
    }

    /** Returns the number up to which a worker's reported ends are saved and may be forgotten. */
    public long acknowledgedEnd(WorkerId id) {
        Worker worker = mState.workers.get(id);
        if (worker == null) {
            return 0;
        }
        while (!worker.unsavedEnds.isEmpty() && isSaved(worker.unsavedEnds.peekFirst())) {
            worker.acknowledgedEnd = worker.unsavedEnds.pollFirst().number();
        }
        return worker.acknowledgedEnd;
    }

    /** Returns whether a worker has to be polled for a run report. */
    public boolean needsPoll(WorkerId id) {
        Worker worker = mState.workers.get(id);
        return worker != null
                && (!worker.hasAnswered
                        || worker.unresponsive
                        || !worker.runs.isEmpty()
                        || !worker.unrecordedRuns.isEmpty()
                        || !worker.unsavedEnds.isEmpty());
    }

    /** Returns whether a worker may have runs. */
    public boolean mayHaveRuns(WorkerId id) {
        Worker worker = mState.workers.get(id);
        return worker != null && !(worker.runs.isEmpty() && worker.unrecordedRuns.isEmpty());
    }

    /**
     * Returns whether a call that was not answered may still start or extend a run of a worker, if
     * the worker has restarted or will.
     */
    public boolean mayRunByCallsInTransit(WorkerId id, long nowMs) {
        Worker worker = mState.workers.get(id);
        return worker != null && mTracker.mayRunByCallsInTransit(worker, nowMs);
    }

    /** Returns whether a worker has serving and best-effort runs, and so needs frequent polls. */
    public boolean hasServingAndBestEffortRuns(WorkerId id) {
        Worker worker = mState.workers.get(id);
        return worker != null && worker.hasServingRuns() && worker.hasBestEffortRuns();
    }

    /** Returns whether the progress of a worker's runs shows that it is much slower than usual. */
    public boolean isSlow(WorkerId id) {
        Worker worker = mState.workers.get(id);
        return worker != null && worker.slow;
    }

    /** Returns the workers that may have runs. */
    public List<WorkerId> workersWithRuns() {
        return mState.workers.keySet().stream().filter(this::mayHaveRuns).toList();
    }

    /** Returns whether a worker is not in the directory, has no runs and can receive no calls. */
    public boolean isRemovable(WorkerId id, long nowMs) {
        Worker worker = mState.workers.get(id);
        return worker == null
                || (!worker.registered
                        && !mayHaveRuns(id)
                        && nowMs > worker.lastUnansweredCallAtMs + RunTracker.MAX_CALL_DELAY_MS);
    }

    /** Removes a worker for which {@link #isRemovable} holds. */
    public void removeWorker(WorkerId id) {
        mState.workers.remove(id);
    }

    /** Returns the jobs whose end is saved and lies back more than twice the retention time. */
    public List<JobId> expiredJobs(long nowMs) {
        List<JobId> expired = new ArrayList<>();
        for (Job job : mState.endedJobs.values()) {
            if (job.isSaved() && nowMs - job.endedAtMs > 2 * mSettings.statusRetentionMs()) {
                expired.add(job.id);
            }
        }
        return expired;
    }

    /** Removes an ended job whose records have been deleted from the store. */
    public void removeEndedJob(JobId id) {
        mState.endedJobs.remove(id);
    }

    private boolean isSaved(UnsavedEnd end) {
        Job job = mState.findJob(end.job());
        return job == null || job.savedVersion >= end.jobVersion();
    }

    private Run findRun(WorkerId id, RunRef ref) {
        Worker worker = mState.workers.get(id);
        return worker == null ? null : worker.runs.get(ref);
    }

    /** Restores a task's saved progress; its newest run may still be on its worker. */
    private void restore(Job job, TaskProgress saved, long nowMs) {
        StepInstance step = job.addOccurrence(saved.occurrence()).get(saved.step());
        Task task = step.tasks.get(saved.index());
        task.attempt = saved.attempt();
        task.done = saved.done();
        if (step.plan.gang()) {
            step.gangFailures = saved.failures();
            step.lastFailedGangAttempt = saved.countedAttempt();
        } else {
            task.failures = saved.failures();
        }
        step.recordCheckpoint(task, saved.checkpoint());
        if (saved.worker() == null) {
            return;
        }
        Worker worker = mState.getOrAddWorker(saved.worker());
        worker.incarnation = Math.max(worker.incarnation, saved.workerBornMs());
        worker.incarnationKnownAtMs = nowMs;
        Run run = new Run(new RunRef(task.ref, saved.attempt()), task, worker, Phase.UNCONFIRMED);
        run.confirmedSpeedPercent = Run.UNKNOWN_SPEED_PERCENT;
        run.workerIncarnation = saved.workerBornMs();
        run.restoredAtMs = nowMs;
        worker.add(run);
        task.run = run;
    }

    /** Starts the runs of a step whose records are saved; a gang only if all its workers can. */
    private void startSavedRuns(StepInstance step, long nowMs) {
        boolean allSchedulable = true;
        List<Run> ready = new ArrayList<>();
        for (Task task : step.tasks) {
            Run run = task.run;
            if (run != null
                    && run.phase == Phase.RECORDING
                    && run.recordVersion <= step.job.savedVersion) {
                ready.add(run);
                allSchedulable &= run.worker.canStartRuns(nowMs);
            }
        }
        for (Run run : ready) {
            boolean send = step.plan.gang() ? allSchedulable : run.worker.canStartRuns(nowMs);
            if (send) {
                mState.sendStart(run, nowMs);
                if (step.job.state == WorkState.QUEUED) {
                    step.job.state = WorkState.ACTIVE;
                }
            } else {
                mState.removeRun(run);
            }
        }
    }

    /** Returns the settings of a job's queue, even if the configuration no longer has the queue. */
    private QueueSettings queueSettings(JobRecord record) {
        return mState.config
                .queue(record.queue())
                .map(QueueConfig::settings)
                .or(() -> Optional.ofNullable(record.settings()))
                .orElse(QueueSettings.UNKNOWN);
    }
}
