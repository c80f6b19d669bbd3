package org.lycheeroad.benchmarks.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.lycheeroad.coordination.jobs.JobAction;
import org.lycheeroad.coordination.jobs.JobScheduler;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.coordination.jobs.OrderAnswer;
import org.lycheeroad.coordination.jobs.SchedulerSettings;
import org.lycheeroad.coordination.jobs.SchedulingPolicies;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.TeamConfig;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;
import org.lycheeroad.state.work.WorkerStatus;

/**
 * Simulates one day in virtual time: callers submit jobs, simulated workers run them, and the real
 * {@link JobScheduler} decides.
 *
 * <p>Calls and commits take constant time. Workers, calls and commits do not fail; some runs fail
 * because of the job itself.
 */
final class JobSimulation {
    /** The one-way latency to a worker on an idle platform. */
    private static final long ONE_WAY_MS = 2;

    /** The duration of a commit on an idle platform. */
    private static final long COMMIT_MS = 8;

    /** The interval at which workers are polled for their runs; the same as in the daemon. */
    private static final long REPORT_INTERVAL_MS = 1_000;

    private static final long TICK_MS = 100;

    /** How long the simulation continues after the last arrival so that jobs can end. */
    private static final long DRAIN_MS = 240_000;

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final long WORKER_START_MS = 1;

    private record Event(long atMs, long sequence, Runnable action) {}

    /** The execution of a task on a simulated worker. */
    private static final class SimulatedRun {
        private final RunRef mRef;
        private final SimulatedJob mJob;
        private final SimulatedWorker mWorker;
        private final long mStartedAtMs;

        /** When the execution began; -1 while a gang waits for its other members. */
        private long mBegunAtMs = -1;

        /** The work that was done before the run, in milliseconds at nominal speed. */
        private double mCheckpointedMs;

        /** How many times longer the run takes because its gang spans racks. */
        private double mSlowdown = 1;

        private boolean mEnded;

        SimulatedRun(RunRef ref, SimulatedJob job, SimulatedWorker worker, long startedAtMs) {
            mRef = ref;
            mJob = job;
            mWorker = worker;
            mStartedAtMs = startedAtMs;
        }
    }

    private static final class SimulatedWorker {
        private final WorkerStatus mStatus;
        private final double mSpeed;
        private final Map<RunRef, SimulatedRun> mRuns = new LinkedHashMap<>();
        private final List<EndedRun> mEndedRuns = new ArrayList<>();
        private long mLastEndSequence;

        SimulatedWorker(WorkerStatus status, double speed) {
            mStatus = status;
            mSpeed = speed;
        }
    }

    private final Deployment mDeployment;
    private final JobScheduler mScheduler;
    private final List<SimulatedJob> mJobs;
    private final Map<JobId, SimulatedJob> mJobsById = new HashMap<>();
    private final Map<WorkerId, SimulatedWorker> mWorkers = new LinkedHashMap<>();
    private final Map<JobId, Double> mCheckpointedMs = new HashMap<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparing(Event::sequence));
    private long mNowMs;
    private long mNextSequence;
    private long mLastArrivalMs;
    private int mOpenJobs;
    private double mWastedCoreSeconds;
    private int mRemoteStarts;
    private int mStartedRuns;
    private int mStoppedRuns;

    JobSimulation(
            Deployment deployment,
            SchedulingPolicies policies,
            List<SimulatedJob> jobs,
            long seed) {
        mDeployment = deployment;
        mJobs = jobs;
        mScheduler =
                new JobScheduler(
                        new SchedulerSettings(
                                Deployment.REMOTE_FACTOR, deployment.reclaimMs(), 10_600, 120_000),
                        policies);
        mScheduler.onConfig(clusterConfig(deployment));
        Random random = new Random(seed);
        for (int i = 0; i < deployment.workers(); i++) {
            RackId rack = new RackId("r" + i / deployment.workersPerRack());
            WorkerStatus status =
                    new WorkerStatus(
                            new WorkerId(String.format("w%03d", i)),
                            WORKER_START_MS,
                            new HostPort("127.0.0.1", 1),
                            SERVICE,
                            false,
                            0,
                            deployment.capacity(),
                            Set.of(rack.value()),
                            rack);
            double speed =
                    deployment.speedChoices().get(random.nextInt(deployment.speedChoices().size()));
            mWorkers.put(status.id(), new SimulatedWorker(status, speed));
        }
    }

    /** Simulates the day and returns the core-seconds of work that were lost. */
    double run() {
        for (SimulatedWorker worker : mWorkers.values()) {
            mScheduler.onWorkerEntry(worker.mStatus, mNowMs);
            reportRuns(worker);
        }
        for (SimulatedJob job : mJobs) {
            mJobsById.put(job.id, job);
            scheduleAt(job.arrivesAtMs, () -> submit(job));
            mLastArrivalMs = Math.max(mLastArrivalMs, job.arrivesAtMs);
        }
        mOpenJobs = mJobs.size();
        tick();
        while (!mEvents.isEmpty() && mOpenJobs > 0 && mNowMs < mLastArrivalMs + DRAIN_MS) {
            Event event = mEvents.poll();
            mNowMs = event.atMs();
            event.action().run();
            while (!mEvents.isEmpty() && mEvents.peek().atMs() == mNowMs) {
                mEvents.poll().action().run();
            }
            runDecisionRound();
        }
        return mWastedCoreSeconds;
    }

    /** Returns how often a rack-local step began execution on more than one rack. */
    int remoteStarts() {
        return mRemoteStarts;
    }

    /** Returns how many runs were started on workers. */
    int startedRuns() {
        return mStartedRuns;
    }

    /** Returns how many runs were stopped, including the members of broken gangs. */
    int stoppedRuns() {
        return mStoppedRuns;
    }

    private void submit(SimulatedJob job) {
        job.withinGuarantee = fitsGuarantee(job);
        JobPlan plan = new JobPlan("", List.of(job.step), 0, 0, 0);
        mScheduler.onJob(
                job.id,
                new JobRecord(job.jobClass.queue(), job.team, plan, mNowMs),
                null,
                0,
                mNowMs);
    }

    private boolean fitsGuarantee(SimulatedJob added) {
        int accelerators = 0;
        for (SimulatedJob job : mJobs) {
            boolean open = job == added || (job.arrivesAtMs <= mNowMs && job.endedAtMs < 0);
            if (open && job.team.equals(added.team) && job.jobClass.priority() == 0) {
                accelerators += job.step.count() * job.step.need().accelerators();
            }
        }
        return added.jobClass.priority() == 0
                && accelerators <= guaranteedAccelerators(mDeployment);
    }

    private void runDecisionRound() {
        mScheduler.runDecisionRound(mNowMs, mNowMs);
        List<UnsavedProgress> updates = mScheduler.takeUnsavedProgress();
        if (!updates.isEmpty()) {
            scheduleAt(mNowMs + COMMIT_MS, () -> onSaved(updates));
        }
        for (JobAction action : mScheduler.takeActions()) {
            if (action instanceof JobAction.Start start) {
                scheduleAt(mNowMs + ONE_WAY_MS, () -> onStartOrder(start));
            } else if (action instanceof JobAction.Stop stop) {
                scheduleAt(mNowMs + ONE_WAY_MS, () -> onStopOrder(stop));
            }
        }
    }

    private void onSaved(List<UnsavedProgress> updates) {
        for (UnsavedProgress update : updates) {
            mScheduler.onSaved(update.job(), update.version(), mNowMs);
            SimulatedJob job = mJobsById.get(update.job());
            if (update.progress().state().isEnded() && job.endedAtMs < 0) {
                job.endedAtMs = mNowMs;
                mOpenJobs--;
            }
        }
    }

    private void onStartOrder(JobAction.Start order) {
        SimulatedWorker worker = mWorkers.get(order.worker());
        SimulatedJob job = mJobsById.get(order.run().task().job());
        if (!worker.mRuns.containsKey(order.run())) {
            SimulatedRun run = new SimulatedRun(order.run(), job, worker, mNowMs);
            worker.mRuns.put(order.run(), run);
            mStartedRuns++;
            if (job.step.gang()) {
                beginGangIfComplete(run);
            } else {
                beginExecution(List.of(run));
            }
        }
        scheduleAt(
                mNowMs + ONE_WAY_MS,
                () ->
                        mScheduler.onStartAnswer(
                                order.worker(), order.run(), OrderAnswer.ACCEPTED, mNowMs));
    }

    /** Begins the execution of a gang once the runs of all its tasks are on workers. */
    private void beginGangIfComplete(SimulatedRun newest) {
        List<SimulatedRun> members = gangMembers(newest);
        if (members.size() == newest.mJob.step.count()) {
            beginExecution(members);
        }
    }

    private List<SimulatedRun> gangMembers(SimulatedRun member) {
        List<SimulatedRun> members = new ArrayList<>();
        for (SimulatedWorker worker : mWorkers.values()) {
            for (SimulatedRun run : worker.mRuns.values()) {
                if (run.mJob == member.mJob && run.mRef.attempt() == member.mRef.attempt()) {
                    members.add(run);
                }
            }
        }
        return members;
    }

    private void beginExecution(List<SimulatedRun> runs) {
        SimulatedJob job = runs.get(0).mJob;
        boolean remote = isRemote(job, runs);
        mRemoteStarts += remote ? 1 : 0;
        double speed = Double.MAX_VALUE;
        for (SimulatedRun run : runs) {
            run.mBegunAtMs = mNowMs;
            run.mCheckpointedMs = mCheckpointedMs.getOrDefault(job.id, 0.0);
            run.mSlowdown = remote ? Deployment.REMOTE_FACTOR : 1;
            speed = Math.min(speed, run.mWorker.mSpeed);
        }
        if (job.allBegunAtMs < 0 && countBegunTasks(job) == job.step.count()) {
            job.allBegunAtMs = mNowMs;
        }
        boolean fails = job.failuresLeft > 0;
        job.failuresLeft -= fails ? 1 : 0;
        double checkpointedMs = mCheckpointedMs.getOrDefault(job.id, 0.0);
        double restoreMs = checkpointedMs > 0 ? mDeployment.restoreMs() : 0;
        double remainingMs = Math.max(1, job.taskDurationMs - checkpointedMs) * (fails ? 0.5 : 1);
        double durationMs =
                restoreMs + remainingMs * (remote ? Deployment.REMOTE_FACTOR : 1) / speed;
        scheduleAt(
                mNowMs + Math.round(durationMs),
                () -> endAll(runs, fails ? RunOutcome.FAILED : RunOutcome.DONE));
    }

    private int countBegunTasks(SimulatedJob job) {
        int begun = 0;
        for (SimulatedWorker worker : mWorkers.values()) {
            for (SimulatedRun run : worker.mRuns.values()) {
                begun += run.mJob == job && run.mBegunAtMs >= 0 ? 1 : 0;
            }
        }
        return begun;
    }

    private static boolean isRemote(SimulatedJob job, List<SimulatedRun> runs) {
        return job.step.rackLocal()
                && runs.stream().map(r -> r.mWorker.mStatus.rack()).distinct().count() > 1;
    }

    private void endAll(List<SimulatedRun> runs, RunOutcome outcome) {
        if (runs.stream().anyMatch(run -> run.mEnded)) {
            return;
        }
        for (SimulatedRun run : runs) {
            endRun(run, outcome);
        }
    }

    private void endRun(SimulatedRun run, RunOutcome outcome) {
        run.mEnded = true;
        run.mWorker.mRuns.remove(run.mRef);
        mStoppedRuns += outcome == RunOutcome.STOPPED ? 1 : 0;
        if (outcome != RunOutcome.DONE) {
            double ranMs = mNowMs - (run.mBegunAtMs < 0 ? run.mStartedAtMs : run.mBegunAtMs);
            if (run.mJob.step.checkpointing()
                    && run.mBegunAtMs >= 0
                    && outcome != RunOutcome.FAILED) {
                mCheckpointedMs.merge(run.mJob.id, ranMs / run.mJob.step.count(), Double::sum);
            } else {
                mWastedCoreSeconds += ranMs / 1_000 * SimulatedJob.equivalentCores(run.mJob.step);
            }
        }
        run.mWorker.mEndedRuns.add(
                new EndedRun(++run.mWorker.mLastEndSequence, run.mRef, outcome, ""));
        scheduleAt(mNowMs + ONE_WAY_MS, () -> reportRuns(run.mWorker));
    }

    private void onStopOrder(JobAction.Stop order) {
        SimulatedRun run = mWorkers.get(order.worker()).mRuns.get(order.run());
        if (run != null) {
            scheduleAt(
                    mNowMs + mDeployment.stopDelayMs(),
                    () -> {
                        if (!run.mEnded) {
                            endRun(run, RunOutcome.STOPPED);
                        }
                    });
        }
        scheduleAt(
                mNowMs + ONE_WAY_MS,
                () ->
                        mScheduler.onStopAnswer(
                                order.worker(), order.run(), OrderAnswer.ACCEPTED, mNowMs));
    }

    private void reportRuns(SimulatedWorker worker) {
        List<ActiveRun> running = new ArrayList<>();
        for (SimulatedRun run : worker.mRuns.values()) {
            running.add(new ActiveRun(run.mRef, "", percent(run), 0));
        }
        WorkerId id = worker.mStatus.id();
        long acknowledged = mScheduler.acknowledgedEnd(id);
        worker.mEndedRuns.removeIf(end -> end.sequence() <= acknowledged);
        List<EndedRun> endedRuns = List.copyOf(worker.mEndedRuns);
        mScheduler.onRunReport(
                id,
                new WorkerRuns(mNowMs, WORKER_START_MS, running, endedRuns, true),
                mNowMs,
                mNowMs);
    }

    /**
     * Returns the percentage of a run's work that is done; a worker reports that of its own task.
     */
    private int percent(SimulatedRun run) {
        if (run.mBegunAtMs < 0) {
            return 0;
        }
        double doneMs =
                run.mCheckpointedMs
                        + (mNowMs - run.mBegunAtMs) * run.mWorker.mSpeed / run.mSlowdown;
        return (int) Math.min(100, 100 * doneMs / run.mJob.taskDurationMs);
    }

    private void tick() {
        if (mNowMs % REPORT_INTERVAL_MS == 0) {
            mWorkers.values().forEach(this::reportRuns);
        }
        scheduleAt(mNowMs + TICK_MS, this::tick);
    }

    private void scheduleAt(long atMs, Runnable action) {
        mEvents.add(new Event(atMs, mNextSequence++, action));
    }

    private static int guaranteedAccelerators(Deployment deployment) {
        int total = deployment.workers() * deployment.capacity().accelerators();
        return (int) (total * deployment.guaranteedFraction() / deployment.teams());
    }

    private static ClusterConfig clusterConfig(Deployment deployment) {
        List<QueueConfig> queues = new ArrayList<>();
        for (JobClass jobClass : deployment.jobClasses()) {
            queues.add(
                    new QueueConfig(
                            jobClass.queue(),
                            "host",
                            "/" + jobClass.queue(),
                            SERVICE,
                            jobClass.priority(),
                            3,
                            jobClass.slackFactor(),
                            jobClass.targetLatencyMs(),
                            false,
                            null));
        }
        List<TeamConfig> teams = new ArrayList<>();
        for (int i = 0; i < deployment.teams(); i++) {
            teams.add(
                    new TeamConfig(
                            new TeamId("team" + i), List.of(), guaranteedAccelerators(deployment)));
        }
        return new ClusterConfig(1, queues, teams);
    }
}
