package org.lycheeroad.benchmarks.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.coordination.jobs.JobAction;
import org.lycheeroad.coordination.jobs.JobScheduler;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.coordination.jobs.OrderAnswer;
import org.lycheeroad.coordination.jobs.SchedulerSettings;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TeamConfig;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerStatus;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures one decision round of the job scheduler in a cluster without free capacity.
 *
 * <p>Running tasks occupy all accelerators but three. The waiting jobs are gangs whose members each
 * need a whole worker and single steps of many tasks.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
public class DecisionRoundBenchmark {
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final QueueName QUEUE = new QueueName("queue");
    private static final QueueName URGENT_QUEUE = new QueueName("urgent");
    private static final int WORKERS_PER_RACK = 8;
    private static final int TEAMS = 48;
    private static final int TASKS_PER_JOB = 16;
    private static final long WORKER_START_MS = 1;

    @Param({"33", "246", "950"})
    private int mWorkers;

    @Param({"8", "64"})
    private int mWaiting;

    private JobScheduler mScheduler;
    private long mNowMs;

    /** Fills the workers with running tasks and submits the waiting jobs. */
    @Setup(Level.Iteration)
    public void setUp() {
        mNowMs = 1_000_000;
        mScheduler = new JobScheduler(new SchedulerSettings(3, 2_700, 6_520, 120_000, false));
        mScheduler.onConfig(clusterConfig());
        for (int i = 0; i < mWorkers; i++) {
            RackId rack = new RackId("r" + i / WORKERS_PER_RACK);
            WorkerStatus status =
                    new WorkerStatus(
                            new WorkerId(String.format("w%04d", i)),
                            WORKER_START_MS,
                            new HostPort("127.0.0.1", 1),
                            SERVICE,
                            false,
                            0,
                            new Resources(32_000, 131_072, 8),
                            Set.of(rack.value()),
                            rack);
            mScheduler.onWorkerEntry(status, mNowMs);
            mScheduler.onRunReport(
                    status.id(),
                    new WorkerRuns(mNowMs, WORKER_START_MS, List.of(), List.of(), true),
                    mNowMs,
                    mNowMs);
        }
        int tasks = mWorkers * 8 - 3;
        for (int i = 0; i * TASKS_PER_JOB < tasks; i++) {
            submit("run" + i, QUEUE, Math.min(TASKS_PER_JOB, tasks - i * TASKS_PER_JOB), 1, false);
        }
        startPlacedRuns();
        for (int i = 0; i < mWaiting; i++) {
            boolean gang = i % 2 == 0;
            submit("wait" + i, gang ? URGENT_QUEUE : QUEUE, gang ? 4 : 12, gang ? 8 : 2, gang);
        }
    }

    private void startPlacedRuns() {
        mScheduler.runDecisionRound(mNowMs, mNowMs);
        for (UnsavedProgress update : mScheduler.takeUnsavedProgress()) {
            mScheduler.onSaved(update.job(), update.version(), mNowMs);
        }
        Map<WorkerId, List<ActiveRun>> runsByWorker = new HashMap<>();
        for (JobAction action : mScheduler.takeActions()) {
            if (action instanceof JobAction.Start start) {
                mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mNowMs);
                runsByWorker
                        .computeIfAbsent(start.worker(), k -> new ArrayList<>())
                        .add(new ActiveRun(start.run(), "", 50, 0));
            }
        }
        runsByWorker.forEach(
                (worker, running) ->
                        mScheduler.onRunReport(
                                worker,
                                new WorkerRuns(mNowMs, WORKER_START_MS, running, List.of(), true),
                                mNowMs,
                                mNowMs));
    }

    private void submit(String id, QueueName queue, int count, int accelerators, boolean gang) {
        StepPlan step =
                new StepPlan(
                        count,
                        new Resources(1_000, 8_000, accelerators),
                        5_000,
                        List.of(),
                        gang,
                        gang,
                        "",
                        "",
                        0,
                        false,
                        false,
                        false,
                        false,
                        0,
                        0,
                        "");
        TeamId team = new TeamId("team" + Math.floorMod(id.hashCode(), TEAMS));
        JobPlan plan = new JobPlan("", List.of(step), 0, 0, 0);
        JobRecord record = new JobRecord(queue, team, plan, 0);
        mScheduler.onJob(new JobId(id), record, null, 0, mNowMs);
    }

    /** Runs one decision round without new input. */
    @Benchmark
    public List<JobAction> round() {
        mNowMs++;
        mScheduler.runDecisionRound(mNowMs, mNowMs);
        return mScheduler.takeActions();
    }

    private static ClusterConfig clusterConfig() {
        List<TeamConfig> teams = new ArrayList<>();
        for (int i = 0; i < TEAMS; i++) {
            teams.add(new TeamConfig(new TeamId("team" + i), List.of(), 8));
        }
        return new ClusterConfig(
                1, List.of(queueConfig(QUEUE, 1), queueConfig(URGENT_QUEUE, 0)), teams);
    }

    private static QueueConfig queueConfig(QueueName name, int priority) {
        return new QueueConfig(
                name, "host", "/" + name, SERVICE, priority, 3, 3, 60_000, false, null);
    }
}
