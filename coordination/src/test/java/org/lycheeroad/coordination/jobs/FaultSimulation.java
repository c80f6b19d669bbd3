package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;

/**
 * Simulates a store, workers and a sequence of owners in virtual time, with seeded faults: lost or
 * late orders, lost answers, and owners that are replaced at any time while their orders are still
 * in transit.
 */
final class FaultSimulation {
    private static final long LEASE_MS = 6_000;
    private static final long LEASE_EXPIRY_MS = 6_600;
    private static final long TICK_MS = 20;

    /**
     * The most ended runs that a worker lists in one report; few, so that reports leave some out.
     */
    private static final int MAX_LISTED_ENDS = 2;

    /** How long after all jobs have ended a run may last: cancellation takes 3 s, a stop 200 ms. */
    private static final long MAX_RUN_AFTER_END_MS = 3_200;

    /** The jobs of a simulation. */
    enum Workload {
        /** Jobs whose steps run once. */
        SINGLE_RUNS,
        /** Jobs with several occurrences, and long-running jobs that are cancelled. */
        REPEATED_AND_CANCELLED
    }

    /** A defect that is injected to show that the checks detect it. */
    enum Defect {
        NONE,
        /** Runs start before their records are saved. */
        START_BEFORE_SAVE,
        /** Ends are acknowledged to workers before they are saved. */
        ACKNOWLEDGE_UNSAVED_ENDS,
        /** Leases of unresponsive workers are taken as expired too early. */
        EXPIRE_LEASES_EARLY,
        /** A new owner does not learn which domains were evacuated before its term. */
        FORGET_EVACUATIONS
    }

    /** How long after a request the owner learns of it at most. */
    private static final int MAX_EVACUATION_DELAY_MS = 1_500;

    private static final List<FailureDomainId> DOMAINS =
            List.of(
                    new FailureDomainId("north"),
                    new FailureDomainId("south"),
                    new FailureDomainId("west"));

    /** The actual state of a worker, as opposed to the scheduler's view. */
    private static final class SimulatedWorker {
        private final Map<TaskRef, RunRef> mRunning = new LinkedHashMap<>();
        private final Map<TaskRef, Long> mEndTimesMs = new HashMap<>();
        private final Map<TaskRef, Integer> mHighestAttempts = new HashMap<>();
        private final List<EndedRun> mUnacknowledgedEnds = new ArrayList<>();
        private long mLastEndNumber;

        /** The number of the last end when the worker last found its lease expired. */
        private long mLastEndAtLeaseExpiry;

        /** The highest owner epoch seen; orders of lower epochs are fenced off. */
        private long mHighestEpoch;

        private long mLeaseUntilMs;

        /** The end of a network partition between the worker and the owner. */
        private long mPartitionedUntilMs;
    }

    /** An action at a virtual time; actions at the same time run in order of creation. */
    private record Event(long timeMs, long order, Runnable action) {}

    private final Random mRandom;

    /** Separate, so that the other faults of a seed are the same with and without evacuations. */
    private final Random mEvacuationRandom;

    private final Defect mDefect;
    private final Workload mWorkload;
    private final Map<WorkerId, SimulatedWorker> mWorkers = new LinkedHashMap<>();

    /** When the owner takes a worker's leases as expired. */
    private final Map<WorkerId, Long> mLeaseExpiryMs = new HashMap<>();

    private final Map<JobId, JobRecord> mAcceptedJobs = new LinkedHashMap<>();
    private final Set<JobId> mCancelledJobs = new HashSet<>();
    private final Map<JobId, ProgressRecord> mSavedProgress = new HashMap<>();

    /** Tasks whose success was acknowledged, so that the worker has forgotten it. */
    private final Set<TaskRef> mAcknowledgedSuccesses = new HashSet<>();

    private final Map<WorkerId, FailureDomainId> mDomains = new HashMap<>();

    /** The domains whose evacuation is requested. */
    private final Set<FailureDomainId> mRequestedEvacuations = new HashSet<>();

    /** Those of them of which the owner has been told. */
    private Set<FailureDomainId> mKnownEvacuations = Set.of();

    private boolean mEvacuates;
    private long mEvacuationsKnownAtMs = Long.MAX_VALUE;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.timeMs != b.timeMs
                                    ? Long.compare(a.timeMs, b.timeMs)
                                    : Long.compare(a.order, b.order));
    private final List<String> mViolations = new ArrayList<>();
    private long mNextEventOrder;
    private long mNowMs = 100_000;
    private long mEpoch;
    private JobScheduler mScheduler;

    FaultSimulation(long seed, int workers, Defect defect, Workload workload) {
        mRandom = new Random(seed);
        mEvacuationRandom = new Random(seed);
        mDefect = defect;
        mWorkload = workload;
        for (int i = 0; i < workers; i++) {
            WorkerId id = new WorkerId("w" + i);
            mWorkers.put(id, new SimulatedWorker());
            mDomains.put(id, DOMAINS.get(i % DOMAINS.size()));
        }
    }

    /** Lets operators evacuate failure domains and take that back at random. */
    FaultSimulation withEvacuations() {
        mEvacuates = true;
        return this;
    }

    /**
     * Runs jobs with faults for some time, then without faults until all have ended.
     *
     * @return the violations that were found
     */
    List<String> run(int jobs, long faultPeriodMs) {
        replaceOwner();
        long faultsEndMs = mNowMs + faultPeriodMs;
        int submitted = 0;
        while (mNowMs < faultsEndMs) {
            if (submitted < jobs && mRandom.nextInt(10) == 0) {
                submitJob(submitted++);
            }
            if (mRandom.nextInt(150) == 0) {
                replaceOwner();
            }
            if (mRandom.nextInt(100) == 0) {
                List<SimulatedWorker> all = List.copyOf(mWorkers.values());
                all.get(mRandom.nextInt(all.size())).mPartitionedUntilMs =
                        mNowMs + mRandom.nextInt(9_000);
            }
            if (mEvacuates && mEvacuationRandom.nextInt(60) == 0) {
                changeEvacuations();
            }
            tick(true);
        }
        mRequestedEvacuations.clear();
        learnEvacuations();
        for (int i = 0; i < 6_000 && !haveAllJobsEnded(); i++) {
            tick(false);
        }
        if (!haveAllJobsEnded()) {
            mViolations.add("accepted jobs have not ended");
            return mViolations;
        }
        long allowedUntilMs = mNowMs + MAX_RUN_AFTER_END_MS;
        while (mNowMs < allowedUntilMs) {
            tick(false);
        }
        mWorkers.forEach(
                (id, worker) ->
                        worker.mRunning
                                .values()
                                .forEach(
                                        run ->
                                                mViolations.add(
                                                        run
                                                                + " runs on "
                                                                + id
                                                                + " after its job")));
        return mViolations;
    }

    private boolean haveAllJobsEnded() {
        for (JobId id : mAcceptedJobs.keySet()) {
            ProgressRecord saved = mSavedProgress.get(id);
            if (saved == null || !saved.state().isEnded()) {
                return false;
            }
        }
        return true;
    }

    private void submitJob(int number) {
        JobId id = new JobId(String.format("%016x", number));
        if (mWorkload == Workload.REPEATED_AND_CANCELLED) {
            submit(id, mRandom.nextBoolean() ? repeatedPlan() : longRunningPlan());
            if (isLongRunning(id)) {
                schedule(mNowMs + mRandom.nextInt(8_000), () -> cancel(id));
            }
            return;
        }
        boolean gang = mRandom.nextBoolean();
        int count = 1 + mRandom.nextInt(3);
        long estimateMs = 100L + mRandom.nextInt(2_000);
        JobPlan plan =
                new JobPlan(
                        "spec",
                        List.of(
                                gang
                                        ? JobSchedulerFixture.gang(count, 4, estimateMs, false)
                                        : JobSchedulerFixture.tasks(count, 4, estimateMs)),
                        0,
                        0,
                        0);
        submit(id, plan);
    }

    private JobPlan repeatedPlan() {
        int count = 1 + mRandom.nextInt(3);
        long estimateMs = 100L + mRandom.nextInt(2_000);
        StepPlan step =
                mRandom.nextBoolean()
                        ? JobSchedulerFixture.gang(count, 4, estimateMs, false)
                        : JobSchedulerFixture.tasks(count, 4, estimateMs);
        return new JobPlan(
                "spec",
                List.of(step),
                2 + mRandom.nextInt(4),
                mNowMs + mRandom.nextInt(2_000),
                500 + mRandom.nextInt(3_000));
    }

    private JobPlan longRunningPlan() {
        StepPlan step = StepBuilder.step(1 + mRandom.nextInt(3), 2, 1_000).longRunning().build();
        return new JobPlan("spec", List.of(step), 0, 0, 0);
    }

    private boolean isLongRunning(JobId id) {
        return mAcceptedJobs.get(id).plan().steps().get(0).longRunning();
    }

    private void submit(JobId id, JobPlan plan) {
        JobRecord record =
                new JobRecord(JobSchedulerFixture.BULK, JobSchedulerFixture.TEAM, plan, mNowMs);
        mAcceptedJobs.put(id, record);
        mScheduler.onJob(id, record, null, 0, mNowMs);
    }

    private void cancel(JobId id) {
        mCancelledJobs.add(id);
        mScheduler.onCancel(id, mNowMs);
    }

    /** Evacuates a domain, or takes its evacuation back; the owner learns of it some time later. */
    private void changeEvacuations() {
        FailureDomainId domain = DOMAINS.get(mEvacuationRandom.nextInt(DOMAINS.size()));
        if (!mRequestedEvacuations.remove(domain)) {
            mRequestedEvacuations.add(domain);
        }
        if (mEvacuationsKnownAtMs == Long.MAX_VALUE) {
            mEvacuationsKnownAtMs = mNowMs + mEvacuationRandom.nextInt(MAX_EVACUATION_DELAY_MS);
        }
    }

    private void learnEvacuations() {
        mEvacuationsKnownAtMs = Long.MAX_VALUE;
        mKnownEvacuations = Set.copyOf(mRequestedEvacuations);
        mScheduler.onEvacuations(mKnownEvacuations);
    }

    /** Replaces the owner; orders of the old one may still be in transit. */
    private void replaceOwner() {
        mEpoch++;
        mScheduler = new JobScheduler(JobSchedulerFixture.SETTINGS);
        mScheduler.onConfig(JobSchedulerFixture.config());
        mAcceptedJobs.forEach(
                (id, record) -> mScheduler.onJob(id, record, mSavedProgress.get(id), 0, mNowMs));
        mCancelledJobs.forEach(id -> mScheduler.onCancel(id, mNowMs));
        for (WorkerId id : mWorkers.keySet()) {
            mScheduler.onWorkerEntry(
                    JobSchedulerFixture.entry(id.value(), "r1", mDomains.get(id)), mNowMs);
            mLeaseExpiryMs.put(
                    id, mNowMs + (mDefect == Defect.EXPIRE_LEASES_EARLY ? 500 : LEASE_EXPIRY_MS));
        }
        if (mDefect != Defect.FORGET_EVACUATIONS) {
            learnEvacuations();
        }
    }

    private void tick(boolean faults) {
        mNowMs += TICK_MS;
        if (mNowMs >= mEvacuationsKnownAtMs) {
            learnEvacuations();
        }
        while (!mEvents.isEmpty() && mEvents.peek().timeMs <= mNowMs) {
            mEvents.poll().action.run();
        }
        mWorkers.forEach(this::endRuns);
        for (WorkerId id : mWorkers.keySet()) {
            poll(id, faults);
        }
        mScheduler.runDecisionRound(mNowMs, mNowMs);
        saveProgress(faults);
        for (JobAction action : mScheduler.takeActions()) {
            sendOrder(action, faults);
        }
    }

    private void saveProgress(boolean faults) {
        JobScheduler scheduler = mScheduler;
        long epoch = mEpoch;
        for (UnsavedProgress unsaved : scheduler.takeUnsavedProgress()) {
            if (mDefect == Defect.START_BEFORE_SAVE) {
                scheduler.onSaved(unsaved.job(), unsaved.version(), mNowMs);
            }
            schedule(
                    mNowMs + (faults ? mRandom.nextInt(150) : 0),
                    () -> {
                        // The store rejects writes of earlier owners.
                        if (mEpoch == epoch && isNewer(unsaved)) {
                            mSavedProgress.put(unsaved.job(), unsaved.progress());
                            mSavedVersions.put(unsaved.job(), unsaved.version());
                            scheduler.onSaved(unsaved.job(), unsaved.version(), mNowMs);
                        }
                    });
        }
    }

    private final Map<JobId, Long> mSavedVersions = new HashMap<>();
    private long mSavedVersionsEpoch;

    /**
     * Returns whether progress is newer than what this owner has saved; its commits are ordered.
     */
    private boolean isNewer(UnsavedProgress unsaved) {
        if (mSavedVersionsEpoch != mEpoch) {
            mSavedVersionsEpoch = mEpoch;
            mSavedVersions.clear();
        }
        return unsaved.version() > mSavedVersions.getOrDefault(unsaved.job(), -1L);
    }

    private void poll(WorkerId id, boolean faults) {
        SimulatedWorker worker = mWorkers.get(id);
        boolean partitioned = faults && mNowMs < worker.mPartitionedUntilMs;
        if (partitioned) {
            mScheduler.onWorkerUnresponsive(id);
        }
        if (partitioned && mNowMs > mLeaseExpiryMs.get(id) && mScheduler.mayHaveRuns(id)) {
            mScheduler.onLeaseExpired(id, mNowMs);
        }
        if (partitioned || !mScheduler.needsPoll(id)) {
            return;
        }
        worker.mHighestEpoch = Math.max(worker.mHighestEpoch, mEpoch);
        long acknowledgedEnd =
                mDefect == Defect.ACKNOWLEDGE_UNSAVED_ENDS
                        ? worker.mLastEndNumber
                        : mScheduler.acknowledgedEnd(id);
        worker.mUnacknowledgedEnds.removeIf(
                end -> {
                    boolean acknowledged = end.sequence() <= acknowledgedEnd;
                    // An end reported before its worker's lease expired does not count.
                    if (acknowledged
                            && end.outcome() == RunOutcome.DONE
                            && end.sequence() > worker.mLastEndAtLeaseExpiry) {
                        mAcknowledgedSuccesses.add(end.run().task());
                    }
                    return acknowledged;
                });
        worker.mLeaseUntilMs = mNowMs + LEASE_MS;
        mLeaseExpiryMs.put(
                id, mNowMs + (mDefect == Defect.EXPIRE_LEASES_EARLY ? 500 : LEASE_EXPIRY_MS));
        List<ActiveRun> running = new ArrayList<>();
        worker.mRunning.values().forEach(run -> running.add(new ActiveRun(run, "", 95, 0)));
        int listed = Math.min(MAX_LISTED_ENDS, worker.mUnacknowledgedEnds.size());
        WorkerRuns runs =
                new WorkerRuns(
                        mNowMs,
                        JobSchedulerFixture.INCARNATION,
                        running,
                        List.copyOf(worker.mUnacknowledgedEnds.subList(0, listed)),
                        listed == worker.mUnacknowledgedEnds.size());
        mScheduler.onRunReport(id, runs, mNowMs, mNowMs);
    }

    private void sendOrder(JobAction action, boolean faults) {
        SimulatedWorker worker = mWorkers.get(action.worker());
        if (action instanceof JobAction.Start
                && mKnownEvacuations.contains(mDomains.get(action.worker()))) {
            mViolations.add(action.run() + " is sent to an evacuated domain");
        }
        long epoch = mEpoch;
        JobScheduler scheduler = mScheduler;
        long expiresAtMs = mNowMs + LEASE_MS;
        mLeaseExpiryMs.put(
                action.worker(),
                mNowMs + (mDefect == Defect.EXPIRE_LEASES_EARLY ? 500 : LEASE_EXPIRY_MS));
        int faultDraw = faults ? mRandom.nextInt(20) : 10;
        boolean late = faultDraw == 0;
        boolean lost = faultDraw == 1;
        long arrivesAtMs =
                late ? mNowMs + 2_000 + mRandom.nextInt(10_000) : mNowMs + mRandom.nextInt(60);
        if (!lost) {
            schedule(
                    arrivesAtMs,
                    () -> {
                        OrderAnswer answer = executeOrder(worker, action, epoch, expiresAtMs);
                        if (!late && faultDraw != 2 && mNowMs >= worker.mPartitionedUntilMs) {
                            deliverAnswer(scheduler, action, answer);
                        }
                    });
        }
        if (late || lost || faultDraw == 2 || mNowMs < worker.mPartitionedUntilMs) {
            schedule(mNowMs + 500, () -> deliverAnswer(scheduler, action, OrderAnswer.UNKNOWN));
        }
    }

    private void deliverAnswer(JobScheduler scheduler, JobAction action, OrderAnswer answer) {
        if (action instanceof JobAction.Start) {
            scheduler.onStartAnswer(action.worker(), action.run(), answer, mNowMs);
        } else {
            scheduler.onStopAnswer(action.worker(), action.run(), answer, mNowMs);
        }
    }

    private OrderAnswer executeOrder(
            SimulatedWorker worker, JobAction action, long epoch, long expiresAtMs) {
        RunRef run = action.run();
        if (epoch < worker.mHighestEpoch) {
            return OrderAnswer.FENCED;
        }
        worker.mHighestEpoch = epoch;
        if (action instanceof JobAction.Stop) {
            worker.mHighestAttempts.merge(run.task(), run.attempt(), Math::max);
            if (run.equals(worker.mRunning.get(run.task()))) {
                endRun(worker, run, RunOutcome.STOPPED);
            }
            return OrderAnswer.ACCEPTED;
        }
        if (run.equals(worker.mRunning.get(run.task()))) {
            return OrderAnswer.ACCEPTED;
        }
        if (run.attempt() <= worker.mHighestAttempts.getOrDefault(run.task(), 0)) {
            return OrderAnswer.OUTDATED;
        }
        if (expiresAtMs <= mNowMs) {
            return OrderAnswer.EXPIRED;
        }
        checkStart(run);
        worker.mLeaseUntilMs = Math.max(worker.mLeaseUntilMs, expiresAtMs);
        worker.mHighestAttempts.put(run.task(), run.attempt());
        worker.mRunning.put(run.task(), run);
        worker.mEndTimesMs.put(
                run.task(),
                isLongRunning(run.task().job())
                        ? Long.MAX_VALUE
                        : mNowMs + 50 + mRandom.nextInt(3_000));
        return OrderAnswer.ACCEPTED;
    }

    private void checkStart(RunRef run) {
        for (Map.Entry<WorkerId, SimulatedWorker> entry : mWorkers.entrySet()) {
            if (entry.getValue().mRunning.containsKey(run.task())) {
                mViolations.add(
                        run
                                + " starts while "
                                + entry.getValue().mRunning.get(run.task())
                                + " runs on "
                                + entry.getKey());
            }
        }
        if (mAcknowledgedSuccesses.contains(run.task())) {
            mViolations.add(run + " starts after its task's success was acknowledged");
        }
    }

    private void endRuns(WorkerId id, SimulatedWorker worker) {
        if (mNowMs > worker.mLeaseUntilMs) {
            worker.mLastEndAtLeaseExpiry = worker.mLastEndNumber;
        }
        for (RunRef run : List.copyOf(worker.mRunning.values())) {
            if (!run.equals(worker.mRunning.get(run.task()))) {
                continue;
            }
            if (mNowMs > worker.mLeaseUntilMs) {
                endRun(worker, run, RunOutcome.LAPSED);
            } else if (mNowMs >= worker.mEndTimesMs.get(run.task())) {
                completeRun(worker, run);
            }
        }
    }

    /** Completes a run; the runs of a gang complete together, once all of them have started. */
    private void completeRun(SimulatedWorker worker, RunRef run) {
        if (!mAcceptedJobs.get(run.task().job()).plan().steps().get(0).gang()) {
            endRun(worker, run, RunOutcome.DONE);
            return;
        }
        List<SimulatedWorker> holders = new ArrayList<>();
        List<RunRef> members = new ArrayList<>();
        for (SimulatedWorker other : mWorkers.values()) {
            for (RunRef member : other.mRunning.values()) {
                if (member.task().job().equals(run.task().job())
                        && member.task().occurrence() == run.task().occurrence()
                        && member.attempt() == run.attempt()) {
                    holders.add(other);
                    members.add(member);
                }
            }
        }
        if (members.size() == mAcceptedJobs.get(run.task().job()).plan().steps().get(0).count()) {
            for (int i = 0; i < members.size(); i++) {
                endRun(holders.get(i), members.get(i), RunOutcome.DONE);
            }
        }
    }

    private void endRun(SimulatedWorker worker, RunRef run, RunOutcome how) {
        worker.mRunning.remove(run.task());
        worker.mUnacknowledgedEnds.add(new EndedRun(++worker.mLastEndNumber, run, how, ""));
    }

    private void schedule(long timeMs, Runnable action) {
        mEvents.add(new Event(timeMs, mNextEventOrder++, action));
    }
}
