package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.Worker.ListedEnd;
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
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerStatus;

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
    public record Unsaved(JobId job, long version, ProgressRecord progress) {}

    private final SchedulerSettings mSettings;
    private final Cluster mCluster;
    private final RunTracker mTracker;
    private final Evacuation mEvacuation;
    private final PolicyAdvice mAdvice;
    private final DecisionRound mRound;

    public JobScheduler(SchedulerSettings settings) {
        this(settings, Policies.standard());
    }

    public JobScheduler(SchedulerSettings settings, Policies policies) {
        mSettings = settings;
        mCluster = new Cluster(policies.newDurations());
        mTracker = new RunTracker(mCluster, settings);
        mEvacuation = new Evacuation(mCluster);
        mAdvice = new PolicyAdvice(mCluster);
        ServiceOrder order = policies.newOrder(mCluster.durations);
        mRound = new DecisionRound(mCluster, settings, order, mAdvice);
    }

    /** Puts a configuration in force. */
    public void onConfig(ClusterConfig config) {
        mCluster.config = config;
        for (Job job : mCluster.active.values()) {
            config.queue(job.record.queue()).ifPresent(queue -> job.queue = queue);
        }
    }

    /**
     * Adds an accepted job.
     *
     * @param progress what earlier owners recorded, or null
     * @param ageMs how long ago the job was accepted
     */
    public void onJob(JobId id, JobRecord record, ProgressRecord progress, long ageMs, long now) {
        if (mCluster.job(id) != null) {
            return;
        }
        QueueConfig queue =
                mCluster.config.queue(record.queue()).orElseGet(() -> unknownQueue(record));
        Job job = new Job(id, record, queue, now - ageMs);
        if (progress != null && progress.state().isEnded()) {
            job.state = progress.state();
            job.endedAt = now;
            mCluster.ended.put(id, job);
        } else {
            mCluster.active.put(id, job);
        }
        if (progress != null) {
            progress.tasks().forEach(row -> restore(job, row));
            if (!job.state.isEnded()) {
                job.state = progress.tasks().isEmpty() ? progress.state() : WorkState.ACTIVE;
            }
        }
    }

    /** Cancels a job; one that has ended stays as it is. */
    public void onCancel(JobId id, long now) {
        Job job = mCluster.active.get(id);
        if (job != null) {
            mCluster.end(job, WorkState.CANCELLED, now);
        }
    }

    /** Adds or updates a worker from its own report in the directory. */
    public void onWorker(WorkerStatus entry, long now) {
        Worker worker = mCluster.worker(entry.id());
        if (worker.entry != null && entry.incarnationStartMs() < worker.bornMs) {
            return;
        }
        worker.heardAt = now;
        // A list that is read again repeats old entries, whose time has partly passed.
        if (!entry.equals(worker.entry)) {
            worker.leavesAt = entry.draining() ? now + entry.remainingMs() : Long.MAX_VALUE;
        }
        worker.entry = entry;
        worker.listed = true;
        if (worker.bornMs == 0) {
            worker.bornMs = entry.incarnationStartMs();
        } else if (entry.incarnationStartMs() > worker.bornMs) {
            // A start may have reached the new incarnation already; its own list tells.
            worker.seen = false;
        }
    }

    /** A worker is no longer in the directory; its runs go on until their lease ends. */
    public void onWorkerUnlisted(WorkerId id) {
        Worker worker = mCluster.workers.get(id);
        if (worker != null) {
            worker.listed = false;
        }
    }

    /** A worker has not answered. */
    public void onWorkerSilent(WorkerId id) {
        Worker worker = mCluster.workers.get(id);
        if (worker != null) {
            worker.silent = true;
        }
    }

    /** All leases of a worker have certainly ended. */
    public void onLeaseLapsed(WorkerId id, long now) {
        Worker worker = mCluster.workers.get(id);
        if (worker != null) {
            mTracker.onLapsed(worker, now);
        }
    }

    /** Applies a worker's list of runs, which was asked for at {@code askedAt}. */
    public void onRuns(WorkerId id, WorkerRuns runs, long askedAt, long now) {
        Worker worker = mCluster.workers.get(id);
        if (worker != null) {
            mTracker.onRuns(worker, runs, askedAt, now);
        }
    }

    /** Applies the answer to a start. */
    public void onStartAnswer(WorkerId id, RunRef ref, OrderAnswer answer, long now) {
        Run run = find(id, ref);
        if (run != null) {
            mTracker.onStartAnswer(run, answer, now);
        }
    }

    /** A worker has confirmed at which share of its speed a run works. */
    public void onThrottled(WorkerId id, RunRef ref, int percent) {
        Run run = find(id, ref);
        if (run != null && run.throttleSent == percent) {
            run.throttle = percent;
        }
    }

    /** Applies the answer to a stop. */
    public void onStopAnswer(WorkerId id, RunRef ref, OrderAnswer answer, long now) {
        Run run = find(id, ref);
        if (run != null) {
            mTracker.onStopAnswer(run, answer, now);
        }
    }

    /**
     * Applies a placement policy's answer.
     *
     * @param tickets the tickets of the workers that may run the step, or null without an answer
     * @param validMs how long the tickets are valid, in milliseconds
     */
    public void onAdvice(
            AdviceQuestion question, Map<WorkerId, String> tickets, long validMs, long now) {
        mAdvice.onAnswer(question, tickets, validMs, now);
    }

    /** The store holds a version of a job's progress; its recorded runs may start. */
    public void onSaved(JobId id, long version, long now) {
        Job job = mCluster.job(id);
        if (job == null) {
            return;
        }
        job.savedVersion = Math.max(job.savedVersion, version);
        for (List<StepRun> steps : job.occurrences.values()) {
            for (StepRun step : steps) {
                startRecorded(step, now);
            }
        }
    }

    /** Does what is due and places waiting tasks; {@code wallMs} is the time of day. */
    public void plan(long now, long wallMs) {
        mTracker.tick(now);
        mEvacuation.move(now);
        mRound.place(now, wallMs);
    }

    /** Returns the orders to send since the last call. */
    public List<JobAction> takeActions() {
        return mCluster.takeActions();
    }

    /** Returns the questions to placement policies since the last call. */
    public List<AdviceQuestion> takeQuestions() {
        return mAdvice.takeQuestions();
    }

    /** Returns what has to be saved since the last call. */
    public List<Unsaved> takeUnsaved() {
        List<Unsaved> unsaved = new ArrayList<>();
        for (Job job : mCluster.dirty) {
            unsaved.add(new Unsaved(job.id, job.version, job.progress()));
        }
        mCluster.dirty.clear();
        return unsaved;
    }

    /** Returns whether something has to be saved without delay for work to go on. */
    public boolean hasUrgentUnsaved() {
        for (Job job : mCluster.dirty) {
            if (job.state.isEnded()) {
                return true;
            }
            for (List<StepRun> steps : job.occurrences.values()) {
                for (StepRun step : steps) {
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
        Job job = mCluster.job(id);
        if (job == null) {
            return Optional.empty();
        }
        if (job.state.isEnded() && !job.isSaved()) {
            return Optional.of(WorkState.ACTIVE);
        }
        return Optional.of(job.state);
    }

    /** Returns the number of a queue's jobs for which no task has started. */
    public int pending(QueueName queue) {
        int count = 0;
        for (Job job : mCluster.active.values()) {
            if (job.state == WorkState.QUEUED && job.record.queue().equals(queue)) {
                count++;
            }
        }
        return count;
    }

    /** Returns up to which number a worker may forget its ends. */
    public long observed(WorkerId id) {
        Worker worker = mCluster.workers.get(id);
        if (worker == null) {
            return 0;
        }
        while (!worker.listedEnds.isEmpty() && isSaved(worker.listedEnds.peekFirst())) {
            worker.observed = worker.listedEnds.pollFirst().number();
        }
        return worker.observed;
    }

    /** Returns whether a worker must be asked for its runs. */
    public boolean needsLook(WorkerId id) {
        Worker worker = mCluster.workers.get(id);
        return worker != null
                && (!worker.seen
                        || worker.silent
                        || !worker.runs.isEmpty()
                        || !worker.strangers.isEmpty()
                        || !worker.listedEnds.isEmpty());
    }

    /** Returns whether a worker may have runs. */
    public boolean hasRuns(WorkerId id) {
        Worker worker = mCluster.workers.get(id);
        return worker != null && !(worker.runs.isEmpty() && worker.strangers.isEmpty());
    }

    /** Returns whether a worker runs filling tasks beside serving ones, which needs close looks. */
    public boolean hasDisturbance(WorkerId id) {
        Worker worker = mCluster.workers.get(id);
        return worker != null && worker.hasServing() && worker.hasFilling();
    }

    /** Returns the workers that may have runs. */
    public List<WorkerId> workersWithRuns() {
        return mCluster.workers.keySet().stream().filter(this::hasRuns).toList();
    }

    /** Returns whether a worker is neither in the directory nor has runs. */
    public boolean isGone(WorkerId id) {
        Worker worker = mCluster.workers.get(id);
        return worker == null || (!worker.listed && !hasRuns(id));
    }

    /** Forgets a worker that is gone for good. */
    public void forget(WorkerId id) {
        mCluster.workers.remove(id);
    }

    /** Returns the jobs that ended longer ago than they have to be shown. */
    public List<JobId> expiredJobs(long now) {
        List<JobId> expired = new ArrayList<>();
        for (Job job : mCluster.ended.values()) {
            if (job.isSaved() && now - job.endedAt > 2 * mSettings.statusKeepMs()) {
                expired.add(job.id);
            }
        }
        return expired;
    }

    /** Forgets an ended job whose records have been removed. */
    public void forgetEnded(JobId id) {
        mCluster.ended.remove(id);
    }

    private boolean isSaved(ListedEnd end) {
        Job job = mCluster.job(end.job());
        return job == null || job.savedVersion >= end.version();
    }

    private Run find(WorkerId id, RunRef ref) {
        Worker worker = mCluster.workers.get(id);
        return worker == null ? null : worker.runs.get(ref);
    }

    /** Restores a task; its newest run may still be on its worker. */
    private void restore(Job job, TaskProgress row) {
        StepRun step = job.addOccurrence(row.occurrence()).get(row.step());
        Task task = step.tasks.get(row.index());
        task.attempt = row.attempt();
        task.done = row.done();
        if (step.plan.gang()) {
            step.gangFailures = row.failures();
        } else {
            task.failures = row.failures();
        }
        step.saveCheckpoint(task, row.checkpoint());
        if (row.worker() == null) {
            return;
        }
        Worker worker = mCluster.worker(row.worker());
        worker.bornMs = Math.max(worker.bornMs, row.workerBornMs());
        Run run = new Run(new RunRef(task.ref, row.attempt()), task, worker, Phase.UNCONFIRMED);
        worker.add(run);
        task.run = run;
    }

    private void startRecorded(StepRun step, long now) {
        boolean whole = true;
        List<Run> ready = new ArrayList<>();
        for (Task task : step.tasks) {
            Run run = task.run;
            if (run != null
                    && run.phase == Phase.RECORDING
                    && run.recordVersion <= step.job.savedVersion) {
                ready.add(run);
                whole &= run.worker.isUsable(now);
            }
        }
        for (Run run : ready) {
            boolean send = step.plan.gang() ? whole : run.worker.isUsable(now);
            if (send) {
                mCluster.sendStart(run, now);
                if (step.job.state == WorkState.QUEUED) {
                    step.job.state = WorkState.ACTIVE;
                }
            } else {
                mCluster.release(run);
            }
        }
    }

    private static QueueConfig unknownQueue(JobRecord record) {
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
