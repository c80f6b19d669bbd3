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
 * Plays one day: callers hand jobs in, sound workers run them, and the real scheduler decides.
 *
 * <p>Calls and commits take fixed times; nothing fails but some runs by their own fault.
 */
final class JobModel {
    /** One way to a worker, and the time of a commit, as on an idle platform. */
    private static final long WAY_MS = 2;

    private static final long COMMIT_MS = 8;

    /** Workers are asked for their runs at this interval, as the daemon does. */
    private static final long LOOK_MS = 1_000;

    private static final long TICK_MS = 100;

    /** How long after the last arrival jobs may still end. */
    private static final long AFTER_MS = 240_000;

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final long BORN_MS = 1;

    private record Event(long at, long number, Runnable action) {}

    /** A run on a worker. */
    private static final class ModelRun {
        private final RunRef mRef;
        private final ModelJob mJob;
        private final ModelWorker mWorker;
        private final long mStartedAt;
        private long mBegunAt = -1;
        private boolean mOver;

        ModelRun(RunRef ref, ModelJob job, ModelWorker worker, long startedAt) {
            mRef = ref;
            mJob = job;
            mWorker = worker;
            mStartedAt = startedAt;
        }
    }

    private static final class ModelWorker {
        private final WorkerStatus mEntry;
        private final double mSpeed;
        private final Map<RunRef, ModelRun> mRuns = new LinkedHashMap<>();
        private final List<EndedRun> mEnds = new ArrayList<>();
        private long mEndNumber;

        ModelWorker(WorkerStatus entry, double speed) {
            mEntry = entry;
            mSpeed = speed;
        }
    }

    private final Deployment mDeployment;
    private final JobScheduler mScheduler;
    private final List<ModelJob> mJobs;
    private final Map<JobId, ModelJob> mById = new HashMap<>();
    private final Map<WorkerId, ModelWorker> mWorkers = new LinkedHashMap<>();
    private final Map<JobId, Double> mSavedMs = new HashMap<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::number));
    private long mNow;
    private long mEventNumber;
    private long mLastArrival;
    private int mOpen;
    private double mWasted;
    private int mRemoteStarts;

    JobModel(Deployment deployment, SchedulingPolicies policies, List<ModelJob> jobs, long seed) {
        mDeployment = deployment;
        mJobs = jobs;
        mScheduler =
                new JobScheduler(
                        new SchedulerSettings(
                                Deployment.REMOTE_FACTOR, deployment.reclaimMs(), 10_600, 120_000),
                        policies);
        mScheduler.onConfig(config(deployment));
        Random random = new Random(seed);
        for (int i = 0; i < deployment.workers(); i++) {
            RackId rack = new RackId("r" + i / deployment.perRack());
            WorkerStatus entry =
                    new WorkerStatus(
                            new WorkerId(String.format("w%03d", i)),
                            BORN_MS,
                            new HostPort("127.0.0.1", 1),
                            SERVICE,
                            false,
                            0,
                            deployment.capacity(),
                            Set.of(rack.value()),
                            rack);
            double speed = deployment.speeds().get(random.nextInt(deployment.speeds().size()));
            mWorkers.put(entry.id(), new ModelWorker(entry, speed));
        }
    }

    /** Plays the day and returns the core-seconds of work that were thrown away. */
    double play() {
        for (ModelWorker worker : mWorkers.values()) {
            mScheduler.onWorkerEntry(worker.mEntry, mNow);
            report(worker);
        }
        for (ModelJob job : mJobs) {
            mById.put(job.id, job);
            at(job.arrivesAt, () -> arrive(job));
            mLastArrival = Math.max(mLastArrival, job.arrivesAt);
        }
        mOpen = mJobs.size();
        tick();
        while (!mEvents.isEmpty() && mOpen > 0 && mNow < mLastArrival + AFTER_MS) {
            Event event = mEvents.poll();
            mNow = event.at();
            event.action().run();
            while (!mEvents.isEmpty() && mEvents.peek().at() == mNow) {
                mEvents.poll().action().run();
            }
            round();
        }
        return mWasted;
    }

    /** Returns the number of gangs that were started across racks although they need one. */
    int remoteStarts() {
        return mRemoteStarts;
    }

    private void arrive(ModelJob job) {
        job.guaranteed = fitsGuarantee(job);
        JobPlan plan = new JobPlan("", List.of(job.step), 0, 0, 0);
        mScheduler.onJob(job.id, new JobRecord(job.kind.queue(), job.team, plan, 0), null, 0, mNow);
    }

    private boolean fitsGuarantee(ModelJob added) {
        int need = 0;
        for (ModelJob job : mJobs) {
            boolean open = job == added || (job.arrivesAt <= mNow && job.endedAt < 0);
            if (open && job.team.equals(added.team) && job.kind.priority() == 0) {
                need += job.step.count() * job.step.need().accelerators();
            }
        }
        return added.kind.priority() == 0 && need <= guaranteed(mDeployment);
    }

    private void round() {
        mScheduler.runDecisionRound(mNow, mNow);
        List<UnsavedProgress> unsaved = mScheduler.takeUnsavedProgress();
        if (!unsaved.isEmpty()) {
            at(mNow + COMMIT_MS, () -> saved(unsaved));
        }
        for (JobAction action : mScheduler.takeActions()) {
            if (action instanceof JobAction.Start start) {
                at(mNow + WAY_MS, () -> start(start));
            } else if (action instanceof JobAction.Stop stop) {
                at(mNow + WAY_MS, () -> stop(stop));
            }
        }
    }

    private void saved(List<UnsavedProgress> unsaved) {
        for (UnsavedProgress one : unsaved) {
            mScheduler.onSaved(one.job(), one.version(), mNow);
            ModelJob job = mById.get(one.job());
            if (one.progress().state().isEnded() && job.endedAt < 0) {
                job.endedAt = mNow;
                mOpen--;
            }
        }
    }

    private void start(JobAction.Start start) {
        ModelWorker worker = mWorkers.get(start.worker());
        ModelJob job = mById.get(start.run().task().job());
        if (!worker.mRuns.containsKey(start.run())) {
            ModelRun run = new ModelRun(start.run(), job, worker, mNow);
            worker.mRuns.put(start.run(), run);
            if (job.step.gang()) {
                beginGang(run);
            } else {
                begin(List.of(run));
            }
        }
        at(
                mNow + WAY_MS,
                () ->
                        mScheduler.onStartAnswer(
                                start.worker(), start.run(), OrderAnswer.ACCEPTED, mNow));
    }

    private void beginGang(ModelRun last) {
        List<ModelRun> members = members(last);
        if (members.size() == last.mJob.step.count()) {
            begin(members);
        }
    }

    private List<ModelRun> members(ModelRun of) {
        List<ModelRun> members = new ArrayList<>();
        for (ModelWorker worker : mWorkers.values()) {
            for (ModelRun run : worker.mRuns.values()) {
                if (run.mJob == of.mJob && run.mRef.attempt() == of.mRef.attempt()) {
                    members.add(run);
                }
            }
        }
        return members;
    }

    private void begin(List<ModelRun> runs) {
        ModelJob job = runs.get(0).mJob;
        boolean remote = isRemote(job, runs);
        mRemoteStarts += remote ? 1 : 0;
        double speed = Double.MAX_VALUE;
        for (ModelRun run : runs) {
            run.mBegunAt = mNow;
            speed = Math.min(speed, run.mWorker.mSpeed);
        }
        if (job.allBegunAt < 0 && begunTasks(job) == job.step.count()) {
            job.allBegunAt = mNow;
        }
        boolean fails = job.failuresLeft > 0;
        job.failuresLeft -= fails ? 1 : 0;
        double saved = mSavedMs.getOrDefault(job.id, 0.0);
        double restore = saved > 0 ? mDeployment.restoreMs() : 0;
        double left = Math.max(1, job.workMs - saved) * (fails ? 0.5 : 1);
        double takes = restore + left * (remote ? Deployment.REMOTE_FACTOR : 1) / speed;
        at(
                mNow + Math.round(takes),
                () -> endAll(runs, fails ? RunOutcome.FAILED : RunOutcome.DONE));
    }

    private int begunTasks(ModelJob job) {
        int begun = 0;
        for (ModelWorker worker : mWorkers.values()) {
            for (ModelRun run : worker.mRuns.values()) {
                begun += run.mJob == job && run.mBegunAt >= 0 ? 1 : 0;
            }
        }
        return begun;
    }

    private static boolean isRemote(ModelJob job, List<ModelRun> runs) {
        return job.step.rackLocal()
                && runs.stream().map(r -> r.mWorker.mEntry.rack()).distinct().count() > 1;
    }

    private void endAll(List<ModelRun> runs, RunOutcome how) {
        if (runs.stream().anyMatch(run -> run.mOver)) {
            return;
        }
        for (ModelRun run : runs) {
            end(run, how);
        }
    }

    private void end(ModelRun run, RunOutcome how) {
        run.mOver = true;
        run.mWorker.mRuns.remove(run.mRef);
        if (how != RunOutcome.DONE) {
            double ran = mNow - (run.mBegunAt < 0 ? run.mStartedAt : run.mBegunAt);
            if (run.mJob.step.checkpointing() && run.mBegunAt >= 0 && how != RunOutcome.FAILED) {
                mSavedMs.merge(run.mJob.id, ran / run.mJob.step.count(), Double::sum);
            } else {
                mWasted += ran / 1_000 * ModelJob.coresOf(run.mJob.step);
            }
        }
        run.mWorker.mEnds.add(new EndedRun(++run.mWorker.mEndNumber, run.mRef, how, ""));
        at(mNow + WAY_MS, () -> report(run.mWorker));
    }

    private void stop(JobAction.Stop stop) {
        ModelRun run = mWorkers.get(stop.worker()).mRuns.get(stop.run());
        if (run != null) {
            at(
                    mNow + mDeployment.stopMs(),
                    () -> {
                        if (!run.mOver) {
                            end(run, RunOutcome.STOPPED);
                        }
                    });
        }
        at(
                mNow + WAY_MS,
                () ->
                        mScheduler.onStopAnswer(
                                stop.worker(), stop.run(), OrderAnswer.ACCEPTED, mNow));
    }

    private void report(ModelWorker worker) {
        List<ActiveRun> running = new ArrayList<>();
        for (ModelRun run : worker.mRuns.values()) {
            long ran = run.mBegunAt < 0 ? 0 : mNow - run.mBegunAt;
            long percent = Math.min(99, 100 * ran / run.mJob.step.estimateMs());
            running.add(new ActiveRun(run.mRef, "", (int) percent, 0));
        }
        WorkerId id = worker.mEntry.id();
        long observed = mScheduler.acknowledgedEnd(id);
        worker.mEnds.removeIf(end -> end.sequence() <= observed);
        List<EndedRun> ends = List.copyOf(worker.mEnds);
        mScheduler.onRunReport(id, new WorkerRuns(mNow, BORN_MS, running, ends), mNow, mNow);
    }

    private void tick() {
        if (mNow % LOOK_MS == 0) {
            mWorkers.values().forEach(this::report);
        }
        at(mNow + TICK_MS, this::tick);
    }

    private void at(long at, Runnable action) {
        mEvents.add(new Event(at, mEventNumber++, action));
    }

    private static int guaranteed(Deployment deployment) {
        int all = deployment.workers() * deployment.capacity().accelerators();
        return (int) (all * deployment.guaranteedShare() / deployment.teams());
    }

    private static ClusterConfig config(Deployment deployment) {
        List<QueueConfig> queues = new ArrayList<>();
        for (JobClass kind : deployment.classes()) {
            queues.add(
                    new QueueConfig(
                            kind.queue(),
                            "host",
                            "/" + kind.queue(),
                            SERVICE,
                            kind.priority(),
                            3,
                            kind.slackFactor(),
                            kind.targetLatencyMs(),
                            false,
                            null));
        }
        List<TeamConfig> teams = new ArrayList<>();
        for (int i = 0; i < deployment.teams(); i++) {
            teams.add(new TeamConfig(new TeamId("team" + i), List.of(), guaranteed(deployment)));
        }
        return new ClusterConfig(1, queues, teams);
    }
}
