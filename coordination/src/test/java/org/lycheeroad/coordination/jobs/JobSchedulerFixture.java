package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueConfig.AdviceTiming;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TeamConfig;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;
import org.lycheeroad.state.work.WorkerStatus;

/** A scheduler with three queues, and helpers that simulate the store and the workers. */
final class JobSchedulerFixture {
    static final QueueName URGENT = new QueueName("urgent");
    static final QueueName BULK = new QueueName("bulk");

    /** A queue with a placement policy. */
    static final QueueName ADVISED = new QueueName("advised");

    static final TeamId TEAM = new TeamId("team");
    static final TeamId OTHER_TEAM = new TeamId("other");
    static final int MAX_ATTEMPTS = 3;
    static final int GUARANTEED_ACCELERATORS = 16;
    static final long INCARNATION = 1_000;
    static final SchedulerSettings SETTINGS =
            new SchedulerSettings(3, 2_700, 6_520, 120_000, false);
    static final List<TeamConfig> TEAMS =
            List.of(
                    new TeamConfig(TEAM, List.of("key"), GUARANTEED_ACCELERATORS),
                    new TeamConfig(OTHER_TEAM, List.of("key2"), GUARANTEED_ACCELERATORS));
    private static final ServiceName SERVICE = new ServiceName("service");

    public final JobScheduler scheduler;
    public long nowMs = 1_000_000;

    JobSchedulerFixture() {
        this(SETTINGS);
    }

    private JobSchedulerFixture(SchedulerSettings settings) {
        scheduler = new JobScheduler(settings);
        scheduler.onConfig(config());
    }

    static JobSchedulerFixture withOverloadTriage() {
        return new JobSchedulerFixture(
                new SchedulerSettings(
                        SETTINGS.remoteFactor(),
                        SETTINGS.reclaimMs(),
                        SETTINGS.orderExpiryMs(),
                        SETTINGS.statusRetentionMs(),
                        true));
    }

    static ClusterConfig config() {
        return new ClusterConfig(
                1,
                List.of(queue(URGENT, 0, 1.5, 600), queue(BULK, 1, 3, 1_500), advisedQueue()),
                TEAMS);
    }

    private static QueueConfig advisedQueue() {
        return new QueueConfig(
                ADVISED,
                "host",
                "/" + ADVISED,
                SERVICE,
                1,
                MAX_ATTEMPTS,
                3,
                1_500,
                false,
                new AdviceTiming(20, 5, 3_000));
    }

    static QueueConfig queue(
            QueueName name, int priority, double slackFactor, long targetLatencyMs) {
        return new QueueConfig(
                name,
                "host",
                "/" + name,
                SERVICE,
                priority,
                MAX_ATTEMPTS,
                slackFactor,
                targetLatencyMs,
                false,
                null);
    }

    static WorkerStatus entry(String id, String rack, boolean draining) {
        return entry(id, rack, draining, 0);
    }

    /** Returns the entry of a draining worker that leaves after some time. */
    static WorkerStatus drainingEntry(String id, String rack, long remainingMs) {
        return entry(id, rack, true, remainingMs);
    }

    /** Returns the entry of a worker in a failure domain. */
    static WorkerStatus entry(String id, String rack, FailureDomainId domain) {
        return entry(id, rack, false, 0, domain.value());
    }

    private static WorkerStatus entry(String id, String rack, boolean draining, long remainingMs) {
        return entry(id, rack, draining, remainingMs, "domain");
    }

    private static WorkerStatus entry(
            String id, String rack, boolean draining, long remainingMs, String domain) {
        return new WorkerStatus(
                new WorkerId(id),
                INCARNATION,
                new HostPort("127.0.0.1", 1),
                SERVICE,
                draining,
                remainingMs,
                new Resources(16_000, 32_000, 8),
                Set.of("a", rack),
                new RackId(rack),
                "",
                new FailureDomainId(domain));
    }

    /** Adds a worker, which has not reported yet. */
    void addWorkerEntry(String id, String rack) {
        scheduler.onWorkerEntry(entry(id, rack, false), nowMs);
    }

    /** Adds a worker and applies its first report, without runs. */
    void addWorker(String id, String rack) {
        addWorkerEntry(id, rack);
        report(id, List.of(), List.of());
    }

    /** Adds a worker with an additional label and applies its first report. */
    void addWorkerWithLabel(String id, String rack, String label) {
        WorkerStatus plain = entry(id, rack, false);
        scheduler.onWorkerEntry(
                new WorkerStatus(
                        plain.id(),
                        INCARNATION,
                        plain.address(),
                        plain.service(),
                        false,
                        0,
                        plain.capacity(),
                        Set.of("a", rack, label),
                        plain.rack()),
                nowMs);
        report(id, List.of(), List.of());
    }

    /** Adds a worker in a failure domain, which has not reported yet. */
    void addWorkerEntry(String id, String rack, FailureDomainId domain) {
        scheduler.onWorkerEntry(entry(id, rack, domain), nowMs);
    }

    /** Adds a worker in a failure domain and applies its first report. */
    void addWorker(String id, String rack, FailureDomainId domain) {
        addWorkerEntry(id, rack, domain);
        report(id, List.of(), List.of());
    }

    void submit(String job, QueueName queue, StepPlan... steps) {
        submit(job, queue, null, steps);
    }

    void submit(String job, QueueName queue, ProgressRecord progress, StepPlan... steps) {
        JobPlan plan = new JobPlan("spec", List.of(steps), 0, 0, 0);
        scheduler.onJob(new JobId(job), new JobRecord(queue, TEAM, plan, 0), progress, 0, nowMs);
    }

    /** Submits a job of a team that was accepted at some time. */
    void submit(String job, QueueName queue, TeamId team, long acceptedAtMs, StepPlan... steps) {
        JobPlan plan = new JobPlan("spec", List.of(steps), 0, 0, 0);
        JobRecord record = new JobRecord(queue, team, plan, acceptedAtMs);
        scheduler.onJob(new JobId(job), record, null, 0, nowMs);
    }

    /** Submits an urgent job of a team without a guarantee. */
    void submitWithoutGuarantee(String job, StepPlan... steps) {
        submit(job, URGENT, new TeamId("no-guarantee"), nowMs, steps);
    }

    /** Runs rounds until some start or for some time; returns the starts of the last round. */
    List<JobAction.Start> startsWithin(long limitMs) {
        long endMs = nowMs + limitMs;
        List<JobAction.Start> starts = starts(runRound());
        while (starts.isEmpty() && nowMs < endMs) {
            nowMs += 100;
            starts = starts(runRound());
        }
        return starts;
    }

    /** Runs a decision round, saves all progress and returns the orders. */
    List<JobAction> runRound() {
        return runRound(true);
    }

    List<JobAction> runRound(boolean save) {
        scheduler.runDecisionRound(nowMs, nowMs);
        if (save) {
            saveAll();
        }
        return scheduler.takeActions();
    }

    void saveAll() {
        for (UnsavedProgress unsaved : scheduler.takeUnsavedProgress()) {
            scheduler.onSaved(unsaved.job(), unsaved.version(), nowMs);
        }
    }

    /** Answers all start orders with ACCEPTED. */
    void acceptStarts(List<JobAction> actions) {
        for (JobAction.Start start : starts(actions)) {
            scheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, nowMs);
        }
    }

    void report(String worker, List<ActiveRun> running, List<EndedRun> ended) {
        report(worker, INCARNATION, running, ended);
    }

    /** Applies a run report of some incarnation. */
    void report(String worker, long incarnation, List<ActiveRun> running, List<EndedRun> ended) {
        report(worker, new WorkerRuns(nowMs, incarnation, running, ended, true));
    }

    /** Applies a run report that leaves out ended runs. */
    void reportFirstEnds(String worker, long incarnation, List<EndedRun> ended) {
        report(worker, new WorkerRuns(nowMs, incarnation, List.of(), ended, false));
    }

    private void report(String worker, WorkerRuns runs) {
        scheduler.onRunReport(new WorkerId(worker), runs, nowMs, nowMs);
    }

    /** Applies the directory entry of another incarnation. */
    void restartWorker(String worker, String rack, long incarnation) {
        WorkerStatus previous = entry(worker, rack, false);
        WorkerStatus entry =
                new WorkerStatus(
                        previous.id(),
                        incarnation,
                        previous.address(),
                        previous.service(),
                        false,
                        0,
                        previous.capacity(),
                        previous.labels(),
                        previous.rack());
        scheduler.onWorkerEntry(entry, nowMs);
    }

    static ActiveRun running(JobAction order, int percent) {
        return new ActiveRun(order.run(), "", percent, 0);
    }

    static EndedRun ended(long number, RunRef run, RunOutcome how) {
        return new EndedRun(number, run, how, "");
    }

    static List<JobAction.Start> starts(List<JobAction> actions) {
        List<JobAction.Start> starts = new ArrayList<>();
        for (JobAction action : actions) {
            if (action instanceof JobAction.Start start) {
                starts.add(start);
            }
        }
        return starts;
    }

    static List<JobAction.Stop> stops(List<JobAction> actions) {
        List<JobAction.Stop> stops = new ArrayList<>();
        for (JobAction action : actions) {
            if (action instanceof JobAction.Stop stop) {
                stops.add(stop);
            }
        }
        return stops;
    }

    static Set<String> workersOf(List<JobAction.Start> starts) {
        Set<String> workers = new LinkedHashSet<>();
        starts.forEach(start -> workers.add(start.worker().value()));
        return workers;
    }

    static StepPlan tasks(int count, int accelerators, long estimateMs) {
        return StepPlan.unconstrained(count, new Resources(100, 100, accelerators), estimateMs);
    }

    static StepPlan gang(int count, int accelerators, long estimateMs, boolean rackLocal) {
        return new StepPlan(
                count,
                new Resources(100, 100, accelerators),
                estimateMs,
                List.of(),
                true,
                rackLocal,
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
    }
}
