package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.Worker.UnsavedEnd;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerEntry;
import org.lycheeroad.state.work.WorkerRuns;

/**
 * Decides which task runs where.
 *
 * <p>The scheduler is a state machine: its owner tells it what happened and sends the orders that
 * it returns. A run is first recorded in the store and only then started, so that a later owner
 * knows every run that may exist; an end is recorded before the worker may forget it. Times are
 * milliseconds of a steady clock unless said otherwise.
 */
public final class JobScheduler {
    /** What the store has to keep of a job. */
    public record UnsavedProgress(JobId job, long version, ProgressRecord progress) {}

    private final SchedulerSettings mSettings;
    private final ClusterState mState;
    private final RunTracker mTracker;
    private final WorkerEvacuator mEvacuator;
    private final AdviceRequester mAdviceRequester;
    private final DecisionRound mRound;

    public JobScheduler(SchedulerSettings settings) {
        this(settings, SchedulingPolicies.standard());
    }

    public JobScheduler(SchedulerSettings settings, SchedulingPolicies policies) {
        mSettings = settings;
        mState = new ClusterState(policies.newEstimator());
        mTracker = new RunTracker(mState, settings);
        mEvacuator = new WorkerEvacuator(mState);
        mAdviceRequester = new AdviceRequester(mState);
        SchedulingOrder order = policies.newOrder(mState.durationEstimator);
        mRound = new DecisionRound(mState, settings, order, mAdviceRequester);
    }

    /** Puts a configuration in force. */
    public void onConfig(ClusterConfig config) {
        mState.config = config;
        for (Job job : mState.activeJobs.values()) {
            config.queue(job.record.queue()).ifPresent(queue -> job.queue = queue);
        }
    }

    /**
     * Adds an accepted job.
     *
     * @param progress what earlier owners recorded, or null
     * @param ageMs how long ago the job was accepted
     */
    public void onJob(JobId id, JobRecord record, ProgressRecord progress, long ageMs, long nowMs) {
        if (mState.findJob(id) != null) {
            return;
        }
        QueueConfig queue =
                mState.config.queue(record.queue()).orElseGet(() -> placeholderQueue(record));
        Job job = new Job(id, record, queue, nowMs - ageMs);
        if (progress != null && progress.state().isEnded()) {
            job.state = progress.state();
            job.endedAtMs = nowMs;
            mState.endedJobs.put(id, job);
        } else {
            mState.activeJobs.put(id, job);
        }
        if (progress != null) {
            progress.tasks().forEach(row -> restore(job, row));
            if (!job.state.isEnded()) {
                job.state = progress.tasks().isEmpty() ? progress.state() : WorkState.ACTIVE;
            }
        }
    }

    /** Cancels a job; one that has ended stays as it is. */
    public void onCancel(JobId id, long nowMs) {
        Job job = mState.activeJobs.get(id);
        if (job != null) {
            mState.endJob(job, WorkState.CANCELLED, nowMs);
        }
    }

    /** Adds or updates a worker from its own report in the directory. */
    public void onWorkerEntry(WorkerEntry entry, long nowMs) {
        Worker worker = mState.getOrAddWorker(entry.id());
        if (worker.entry != null && entry.bornMs() < worker.incarnation) {
            return;
        }
        worker.lastHeartbeatAtMs = nowMs;
        // A list that is read again repeats old entries, whose time has partly passed.
        if (!entry.equals(worker.entry)) {
            worker.leavesAtMs = entry.draining() ? nowMs + entry.remainingMs() : Long.MAX_VALUE;
        }
        worker.entry = entry;
        worker.registered = true;
        if (worker.incarnation == 0) {
            worker.incarnation = entry.bornMs();
        } else if (entry.bornMs() > worker.incarnation) {
            // A start may have reached the new incarnation already; its own list tells.
            worker.hasAnswered = false;
        }
    }

    /** A worker is no longer in the directory; its runs go on until their lease ends. */
    public void onWorkerUnregistered(WorkerId id) {
        Worker worker = mState.workers.get(id);
        if (worker != null) {
            worker.registered = false;
        }
    }

    /** A worker has not answered. */
    public void onWorkerUnresponsive(WorkerId id) {
        Worker worker = mState.workers.get(id);
        if (worker != null) {
            worker.unresponsive = true;
        }
    }

    /** All leases of a worker have certainly ended. */
    public void onLeaseExpired(WorkerId id, long nowMs) {
        Worker worker = mState.workers.get(id);
        if (worker != null) {
            mTracker.onLeaseExpired(worker, nowMs);
        }
    }

    /** Applies a worker's list of runs, which was asked for at {@code askedAt}. */
    public void onRunReport(WorkerId id, WorkerRuns runs, long requestedAtMs, long nowMs) {
        Worker worker = mState.workers.get(id);
        if (worker != null) {
            mTracker.onRunReport(worker, runs, requestedAtMs, nowMs);
        }
    }

    /** Applies the answer to a start. */
    public void onStartAnswer(WorkerId id, RunRef ref, OrderAnswer answer, long nowMs) {
        Run run = findRun(id, ref);
        if (run != null) {
            mTracker.onStartAnswer(run, answer, nowMs);
        }
    }

    /** A worker has confirmed at which share of its speed a run works. */
    public void onThrottleConfirmed(WorkerId id, RunRef ref, int percent) {
        Run run = findRun(id, ref);
        if (run != null && run.orderedSpeedPercent == percent) {
            run.confirmedSpeedPercent = percent;
        }
    }

    /** Applies the answer to a stop. */
    public void onStopAnswer(WorkerId id, RunRef ref, OrderAnswer answer, long nowMs) {
        Run run = findRun(id, ref);
        if (run != null) {
            mTracker.onStopAnswer(run, answer, nowMs);
        }
    }

    /**
     * Applies a placement policy's answer.
     *
     * @param tickets the tickets of the workers that may run the step, or null without an answer
     * @param validMs how long the tickets are valid, in milliseconds
     */
    public void onAdvice(
            AdviceRequest question, Map<WorkerId, String> tickets, long validMs, long nowMs) {
        mAdviceRequester.onAnswer(question, tickets, validMs, nowMs);
    }

    /** The store holds a version of a job's progress; its recorded runs may start. */
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

    /** Does what is due and places waiting tasks; {@code wallMs} is the time of day. */
    public void runDecisionRound(long nowMs, long wallMs) {
        mTracker.onTick(nowMs);
        mEvacuator.evacuate(nowMs);
        mRound.run(nowMs, wallMs);
    }

    /** Returns the orders to send since the last call. */
    public List<JobAction> takeActions() {
        return mState.takeActions();
    }

    /** Returns the questions to placement policies since the last call. */
    public List<AdviceRequest> takeAdviceRequests() {
        return mAdviceRequester.takeRequests();
    }

    /** Returns what has to be saved since the last call. */
    public List<UnsavedProgress> takeUnsavedProgress() {
        List<UnsavedProgress> unsaved = new ArrayList<>();
        for (Job job : mState.unsavedJobs) {
            unsaved.add(new UnsavedProgress(job.id, job.version, job.toProgressRecord()));
        }
        mState.unsavedJobs.clear();
        return unsaved;
    }

    /** Returns whether something has to be saved without delay for work to go on. */
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

    /** Returns a job's state as callers may see it; an end is shown once it is saved. */
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

    /** Returns the number of a queue's jobs for which no task has started. */
    public int queuedJobCount(QueueName queue) {
        int count = 0;
        for (Job job : mState.activeJobs.values()) {
            if (job.state == WorkState.QUEUED && job.record.queue().equals(queue)) {
                count++;
            }
        }
        return count;
    }

    /** Returns up to which number a worker may forget its ends. */
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

    /** Returns whether a worker must be asked for its runs. */
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

    /** Returns whether a worker runs filling tasks beside serving ones, which needs close looks. */
    public boolean hasServingAndBestEffortRuns(WorkerId id) {
        Worker worker = mState.workers.get(id);
        return worker != null && worker.hasServingRuns() && worker.hasBestEffortRuns();
    }

    /** Returns the workers that may have runs. */
    public List<WorkerId> workersWithRuns() {
        return mState.workers.keySet().stream().filter(this::mayHaveRuns).toList();
    }

    /** Returns whether a worker is neither in the directory nor has runs. */
    public boolean isRemovable(WorkerId id) {
        Worker worker = mState.workers.get(id);
        return worker == null || (!worker.registered && !mayHaveRuns(id));
    }

    /** Forgets a worker that is gone for good. */
    public void removeWorker(WorkerId id) {
        mState.workers.remove(id);
    }

    /** Returns the jobs that ended longer ago than they have to be shown. */
    public List<JobId> expiredJobs(long nowMs) {
        List<JobId> expired = new ArrayList<>();
        for (Job job : mState.endedJobs.values()) {
            if (job.isSaved() && nowMs - job.endedAtMs > 2 * mSettings.statusRetentionMs()) {
                expired.add(job.id);
            }
        }
        return expired;
    }

    /** Forgets an ended job whose records have been removed. */
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

    /** Restores a task; its newest run may still be on its worker. */
    private void restore(Job job, TaskProgress row) {
        StepInstance step = job.addOccurrence(row.occurrence()).get(row.step());
        Task task = step.tasks.get(row.index());
        task.attempt = row.attempt();
        task.done = row.done();
        if (step.plan.gang()) {
            step.gangFailures = row.failures();
        } else {
            task.failures = row.failures();
        }
        step.recordCheckpoint(task, row.checkpoint());
        if (row.worker() == null) {
            return;
        }
        Worker worker = mState.getOrAddWorker(row.worker());
        worker.incarnation = Math.max(worker.incarnation, row.workerBornMs());
        Run run = new Run(new RunRef(task.ref, row.attempt()), task, worker, Phase.UNCONFIRMED);
        worker.add(run);
        task.run = run;
    }

    private void startSavedRuns(StepInstance step, long nowMs) {
        boolean whole = true;
        List<Run> ready = new ArrayList<>();
        for (Task task : step.tasks) {
            Run run = task.run;
            if (run != null
                    && run.phase == Phase.RECORDING
                    && run.recordVersion <= step.job.savedVersion) {
                ready.add(run);
                whole &= run.worker.isSchedulable(nowMs);
            }
        }
        for (Run run : ready) {
            boolean send = step.plan.gang() ? whole : run.worker.isSchedulable(nowMs);
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

    private static QueueConfig placeholderQueue(JobRecord record) {
        return new QueueConfig(
                record.queue(),
                "",
                "",
                new ServiceName(""),
                Integer.MAX_VALUE,
                1,
                1,
                0,
                false,
                null);
    }
}
