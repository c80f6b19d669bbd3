package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.coordination.jobs.LivenessWorld.Defect;
import org.lycheeroad.coordination.jobs.LivenessWorld.Kind;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerStatus;

/**
 * Simulates workers in three racks, a store, a placement policy and a sequence of owners in virtual
 * time, with phases of seeded faults between calm ones, and checks that all accepted work proceeds.
 */
final class LivenessSimulation implements LivenessWorkload.Intake {
    private static final long TICK_MS = 50;
    private static final int FAULT_PHASES = 3;
    private static final long FAULT_PHASE_MS = 9_000;
    private static final long CALM_PHASE_MS = 16_000;
    private static final long FINAL_PHASE_MS = 42_000;
    private static final long CLEARING_MS = 40_000;

    private final LivenessWorld mWorld;
    private final LivenessRuns mRuns;
    private final LivenessWorkload mWorkload;
    private final List<QueueConfig> mAllQueues;
    private final int mWorkerCount;
    private long mPhaseEndMs;
    private long mEpochs;
    private LivenessOwner mOwner;

    LivenessSimulation(long seed, Set<Kind> kinds, Defect defect, boolean traced) {
        mWorld = new LivenessWorld(seed, kinds, defect, traced);
        mRuns = new LivenessRuns(mWorld);
        mWorkload = new LivenessWorkload(mWorld, this);
        mAllQueues = new ArrayList<>(JobSchedulerFixture.config().queues());
        mAllQueues.add(JobSchedulerFixture.queue(LivenessWorkload.TEMPORARY, 1, 3, 1_500));
        mAllQueues.add(JobSchedulerFixture.queue(LivenessWorkload.LASTING_QUEUE, 1, 3, 1_500));
        mWorld.config = configOf(mAllQueues, 1);
        mWorkerCount = 12 + mWorld.random.nextInt(13);
        for (int i = 0; i < mWorkerCount; i++) {
            addWorker(i);
        }
    }

    /** Returns the violations; the first one that was found comes first. */
    List<String> run() {
        mOwner = newOwner();
        if (mWorld.kinds.contains(Kind.LASTING)) {
            mWorkload.submitLastingJobs(mWorkerCount);
        }
        for (int i = 0; i < FAULT_PHASES; i++) {
            simulate(FAULT_PHASE_MS, true);
            simulate(i < FAULT_PHASES - 1 ? CALM_PHASE_MS : FINAL_PHASE_MS, false);
        }
        // Makes room for all others; what is cancelled may hold resources for good.
        mWorld.jobs.forEach(
                (id, job) -> {
                    if (job.plan().steps().get(0).longRunning()) {
                        cancel(id);
                    }
                });
        simulate(CLEARING_MS, false);
        List<String> violations = new ArrayList<>(mWorld.check.violations());
        mWorld.jobs.keySet().forEach(id -> checkEnd(id, violations));
        return violations;
    }

    /** Returns what happened, if the simulation is traced. */
    List<String> trace() {
        return mWorld.trace();
    }

    private LivenessOwner newOwner() {
        return new LivenessOwner(mWorld, mRuns, ++mEpochs, owner -> owner == mOwner);
    }

    private void checkEnd(JobId id, List<String> violations) {
        WorkState state =
                mWorld.saved.containsKey(id) ? mWorld.saved.get(id).state() : WorkState.QUEUED;
        int failures = mRuns.failedRuns(id);
        if (!state.isEnded()) {
            if (!mWorld.check.canProceed(
                    id, mWorld.jobs.get(id), mWorld.saved.get(id), mWorld.nowMs)) {
                return;
            }
            violations.add("UNENDED: " + id + " " + mWorld.jobs.get(id));
        } else if (state == WorkState.FAILED && failures < JobSchedulerFixture.MAX_ATTEMPTS) {
            violations.add(
                    "FAILED: " + id + " after " + failures + " runs, " + mWorld.jobs.get(id));
        }
    }

    private void simulate(long durationMs, boolean faults) {
        mPhaseEndMs = mWorld.nowMs + durationMs;
        mWorld.faultPhase = faults;
        if (!faults) {
            mWorld.evacuations.clear();
            publishEvacuations();
        }
        while (mWorld.nowMs < mPhaseEndMs) {
            mWorld.advance(TICK_MS);
            if (faults) {
                disturb();
            }
            mWorld.workers.values().forEach(mRuns::endRuns);
            if (mOwner != null) {
                mOwner.pass();
            }
            if (mOwner == null
                    || mWorld.nowMs < mWorld.disturbedUntilMs
                    || mWorld.workers.values().stream()
                            .anyMatch(w -> w.isDisturbed(mWorld.nowMs))) {
                mWorld.check.onDisturbance(mWorld.nowMs);
            }
            if (mWorld.nowMs % (4 * TICK_MS) == 0) {
                mWorld.check.check(unendedJobs(), mWorld.saved, faults, mWorld.nowMs);
            }
        }
    }

    private Map<JobId, JobRecord> unendedJobs() {
        Map<JobId, JobRecord> unended = new LinkedHashMap<>(mWorld.jobs);
        unended.keySet().removeAll(mWorld.cancelled);
        unended.keySet()
                .removeIf(
                        id ->
                                mWorld.saved.containsKey(id)
                                        && mWorld.saved.get(id).state().isEnded());
        return unended;
    }

    /** Returns a time within the phase of faults. */
    private long drawFaultEndMs() {
        return Math.min(mPhaseEndMs, mWorld.nowMs + 500 + mWorld.random.nextInt(7_500));
    }

    private void disturb() {
        if (mWorld.random.nextInt(14) == 0) {
            mWorkload.submitJob();
        }
        if (mWorld.strikes(Kind.QUEUE_CHANGES, 40)) {
            changeQueues();
        }
        if (mWorld.strikes(Kind.EVACUATIONS, 60)) {
            changeEvacuations();
        }
        if (mWorld.strikes(Kind.OWNER_CHANGES, 80) && mOwner != null) {
            mWorld.trace("the owner is replaced");
            mOwner = null;
            mWorld.schedule(mWorld.random.nextInt(2_000), () -> mOwner = newOwner());
        }
        List<LivenessWorker> all = List.copyOf(mWorld.entries.values());
        LivenessWorker worker = all.get(mWorld.random.nextInt(all.size()));
        if (!worker.up || worker.draining) {
            return;
        }
        WorkerId id = worker.identity.id();
        if (mWorld.strikes(Kind.FAILING_WORKERS, 60)) {
            worker.failingUntilMs = drawFaultEndMs();
            mWorld.trace(id + " fails all until " + worker.failingUntilMs);
        }
        if (mWorld.strikes(Kind.REFUSALS, 60)) {
            worker.unhealthyUntilMs = drawFaultEndMs();
            mWorld.trace(id + " is unhealthy until " + worker.unhealthyUntilMs);
        }
        if (mWorld.strikes(Kind.SILENCE, 60)) {
            worker.unreachableUntilMs = drawFaultEndMs();
            mWorld.trace(id + " is unreachable until " + worker.unreachableUntilMs);
        }
        if (mWorld.strikes(Kind.RESTARTS, 60)) {
            mRuns.crash(worker);
            mWorld.trace(worker.identity.id() + " crashes");
            long bootMs = Math.min(mPhaseEndMs - mWorld.nowMs, 100 + mWorld.random.nextInt(3_000));
            mWorld.schedule(bootMs, () -> boot(worker));
        } else if (mWorld.strikes(Kind.LOSSES, 90)) {
            lose(worker);
        } else if (mWorld.strikes(Kind.DRAINS, 90)) {
            long staysMs =
                    Math.min(mPhaseEndMs - mWorld.nowMs, 2_000 + mWorld.random.nextInt(6_000));
            worker.draining = true;
            mWorld.departuresMs.put(id, mWorld.nowMs + staysMs);
            mWorld.trace(id + " drains for " + staysMs);
            announce(worker);
            mWorld.schedule(staysMs + mWorld.random.nextInt(500), () -> lose(worker));
        }
    }

    private void boot(LivenessWorker worker) {
        worker.up = true;
        worker.incarnation = mWorld.nowMs;
        mWorld.trace(worker.identity.id() + " boots");
        mWorld.schedule(500 + mWorld.random.nextInt(1_000), () -> announce(worker));
    }

    /** Removes a worker for good; a similar one comes later. */
    private void lose(LivenessWorker worker) {
        WorkerId id = worker.identity.id();
        mRuns.crash(worker);
        mWorld.trace(worker.identity.id() + " crashes");
        mWorld.check.onDisturbance(mWorld.nowMs);
        mWorld.workers.remove(id);
        mWorld.schedule(
                mWorld.random.nextInt(6_000),
                () -> {
                    mWorld.entries.remove(id);
                    if (mOwner != null) {
                        mOwner.scheduler().onWorkerUnregistered(id);
                    }
                });
        int number = Integer.parseInt(id.value().substring(1));
        // A multiple of the numbers of racks and labels.
        mWorld.schedule(1_000 + mWorld.random.nextInt(5_000), () -> addWorker(number + 1_200));
    }

    private void addWorker(int number) {
        String rack = "r" + number % 3;
        WorkerStatus status = JobSchedulerFixture.entry("w" + number, rack, domain(number % 6 / 2));
        Set<String> labels = new HashSet<>(status.labels());
        if (number % 4 == 0) {
            labels.add("x");
        }
        LivenessWorker worker =
                new LivenessWorker(
                        new WorkerStatus(
                                status.id(),
                                mWorld.nowMs,
                                status.address(),
                                status.service(),
                                false,
                                0,
                                status.capacity(),
                                labels,
                                status.rack(),
                                "",
                                status.failureDomain()));
        mWorld.workers.put(status.id(), worker);
        beat(worker);
    }

    /** Publishes a worker's entry, and again at each heartbeat. */
    private void beat(LivenessWorker worker) {
        if (mWorld.workers.containsValue(worker)) {
            if (worker.up) {
                announce(worker);
            }
            mWorld.schedule(1_500, () -> beat(worker));
        }
    }

    private void announce(LivenessWorker worker) {
        if (worker.up) {
            mWorld.entries.put(worker.identity.id(), worker);
            if (mOwner != null) {
                mOwner.onEntry(worker);
            }
        }
    }

    private static FailureDomainId domain(int number) {
        return new FailureDomainId("domain" + number);
    }

    /** Evacuates a failure domain or opens it again; the owner learns of it within a second. */
    private void changeEvacuations() {
        FailureDomainId domain = domain(mWorld.random.nextInt(3));
        if (!mWorld.evacuations.remove(domain)) {
            mWorld.evacuations.add(domain);
        }
        mWorld.schedule(mWorld.random.nextInt(1_000), this::publishEvacuations);
    }

    private void publishEvacuations() {
        if (mOwner != null) {
            mOwner.scheduler().onEvacuations(mWorld.evacuations);
        }
    }

    private void changeQueues() {
        QueueConfig queue = mAllQueues.get(mWorld.random.nextInt(mAllQueues.size()));
        List<QueueConfig> queues = new ArrayList<>(mWorld.config.queues());
        if (!queues.remove(queue)) {
            queues.add(queue);
        }
        mWorld.trace("queues change: " + queue.name());
        mWorld.config = configOf(queues, mWorld.config.version() + 1);
        mWorld.schedule(
                mWorld.random.nextInt(1_000),
                () -> {
                    if (mOwner != null) {
                        mOwner.scheduler().onConfig(mWorld.config);
                    }
                });
    }

    private static ClusterConfig configOf(List<QueueConfig> queues, long version) {
        return new ClusterConfig(version, queues, JobSchedulerFixture.TEAMS);
    }

    @Override
    public JobId submit(QueueName queue, JobPlan plan) {
        JobId id = new JobId(String.format("%016x", mWorld.jobs.size()));
        TeamId team =
                mWorld.random.nextBoolean()
                        ? JobSchedulerFixture.TEAM
                        : JobSchedulerFixture.OTHER_TEAM;
        JobRecord record =
                new JobRecord(
                        queue,
                        team,
                        plan,
                        mWorld.nowMs,
                        mWorld.config.queue(queue).orElseThrow().settings());
        mWorld.jobs.put(id, record);
        mWorld.trace("accepts " + id + " " + record);
        mWorld.schedule(
                mWorld.random.nextInt(100),
                () -> {
                    if (mOwner != null) {
                        mOwner.scheduler().onJob(id, record, null, 0, mWorld.nowMs);
                    }
                });
        return id;
    }

    @Override
    public void cancel(JobId id) {
        mWorld.cancelled.add(id);
        if (mOwner != null) {
            mOwner.scheduler().onCancel(id, mWorld.nowMs);
        }
    }
}
