package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.coordination.jobs.LivenessWorker.ActualRun;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerStatus;

/**
 * Simulates workers in three racks, a store, a placement policy and a sequence of owners in virtual
 * time, with phases of seeded faults between calm ones, and checks that all accepted work proceeds.
 */
final class LivenessSimulation {
    /** A property of the jobs, or a kind of fault. */
    enum Kind {
        /** Tasks that last, with estimates of seconds to minutes. */
        LASTING,
        GANGS,
        /** Data on a rack, and rack-local gangs. */
        RACKS,
        /** At most one or two tasks of a step on a worker. */
        SPREADING,
        /** Labels that only some workers have. */
        LABELS,
        /** A queue with a placement policy that allows some workers, with short-lived tickets. */
        POLICY,
        /** Urgent jobs within and beyond the guarantees of their teams. */
        GUARANTEES,
        /** Steps that always fail. */
        HOPELESS,
        REPEATED,
        CANCELS,
        /** A configuration that drops queues and adds them again. */
        QUEUE_CHANGES,
        OWNER_CHANGES,
        TASK_FAILURES,
        /** Workers that fail all that they start for some seconds. */
        FAILING_WORKERS,
        /** Workers that answer 503 and do nothing for some seconds. */
        REFUSALS,
        /** Workers that are out of reach for some seconds. */
        SILENCE,
        /** Calls that are carried out, but get no answer. */
        LOST_ANSWERS,
        /** Calls that are carried out 2 to 12 s later and get no answer. */
        LATE_CALLS,
        /** Workers that crash and restart under their id. */
        RESTARTS,
        /** Workers that never come back; another one takes their place later. */
        LOSSES,
        /** Workers that leave after an announcement; another one takes their place later. */
        DRAINS,
        /** Requests to the policy that are refused or not answered. */
        POLICY_FAULTS
    }

    /** A defect that is injected to show that the check detects it. */
    enum Defect {
        NONE,
        /** New owners do not learn of one job. */
        FORGET_JOB,
        /** Owners do not notice the expiry of leases. */
        KEEP_LEASES,
        /** The policy's answers are lost even while nothing disturbs it. */
        MUTE_POLICY
    }

    private static final long TICK_MS = 50;
    private static final int FAULT_PHASES = 3;
    private static final long FAULT_PHASE_MS = 9_000;
    private static final long CALM_PHASE_MS = 16_000;
    private static final long FINAL_PHASE_MS = 42_000;
    private static final long CLEARING_MS = 40_000;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long LEASE_EXPIRY_MS = JobSchedulerFixture.SETTINGS.orderExpiryMs();
    private static final long GANG_TIMEOUT_MS = 3_000;

    /** As in the owner session of production. */
    private static final long POLICY_TIMEOUT_MS = 10_000;

    private static final int WORKER_ACCELERATORS = 8;
    private static final FailureDomainId DOMAIN = new FailureDomainId("domain");
    private static final QueueName TEMPORARY = new QueueName("temporary");
    private static final QueueName LASTING_QUEUE = new QueueName("lasting");

    /** An action at a virtual time; actions at the same time run in order of creation. */
    private record Event(long timeMs, long order, Runnable action) {}

    /** What an owner knows of its connection to a worker. */
    private static final class Session {
        private final LivenessWorker mWorker;
        private long mEntryIncarnation;
        private boolean mClockKnown;
        private boolean mUnreachable;
        private boolean mPollInFlight;
        private boolean mHasUnacknowledgedEnds;
        private long mLastResponseMs = Long.MIN_VALUE / 2;
        private long mNextPollMs;
        private long mLeasesExpiredMs;

        Session(LivenessWorker worker, long nowMs) {
            mWorker = worker;
            mLeasesExpiredMs = nowMs + LEASE_EXPIRY_MS;
        }
    }

    /** One owner during its term. */
    private final class Owner {
        private final JobScheduler mScheduler = new JobScheduler(JobSchedulerFixture.SETTINGS);
        private final Map<WorkerId, Session> mSessions = new LinkedHashMap<>();
        private final Map<JobId, Long> mSavedVersions = new HashMap<>();
        private final long mEpoch = ++mEpochs;
        private final long mBornMs = mNowMs;

        Owner() {
            mScheduler.onConfig(mConfig);
            mJobs.forEach(
                    (id, record) -> {
                        if (mDefect != Defect.FORGET_JOB || !id.equals(mForgottenJob)) {
                            long ageMs = mNowMs - record.acceptedAtMs();
                            mScheduler.onJob(id, record, mSaved.get(id), ageMs, mNowMs);
                        }
                    });
            mCancelled.forEach(id -> mScheduler.onCancel(id, mNowMs));
            mEntries.values().forEach(this::onEntry);
        }

        void onEntry(LivenessWorker worker) {
            WorkerId id = worker.identity.id();
            long staysMs = Math.max(0, mDeparturesMs.getOrDefault(id, 0L) - mNowMs);
            mScheduler.onWorkerEntry(worker.entry(staysMs), mNowMs);
            Session session = mSessions.computeIfAbsent(id, k -> new Session(worker, mNowMs));
            session.mClockKnown &= session.mEntryIncarnation == worker.incarnation;
            session.mEntryIncarnation = worker.incarnation;
        }

        /** As the owner session and its worker sessions do it. */
        void pass() {
            mSessions.forEach(
                    (id, session) -> {
                        if (session.mUnreachable && mNowMs > session.mLeasesExpiredMs) {
                            expireLeases(id);
                        }
                    });
            for (WorkerId id : mScheduler.workersWithRuns()) {
                if (!mSessions.containsKey(id) && mNowMs > mBornMs + LEASE_EXPIRY_MS) {
                    expireLeases(id);
                }
            }
            mSessions.keySet().removeIf(this::removeIfDeparted);
            mScheduler.runDecisionRound(mNowMs, mNowMs);
            for (JobAction action : mScheduler.takeActions()) {
                Session session = mSessions.get(action.worker());
                if (session != null && action instanceof JobAction.Start start) {
                    sendStart(session, start);
                } else if (session != null && action instanceof JobAction.Stop stop) {
                    sendStop(session, stop);
                }
            }
            mScheduler.takeDroppedRuns().forEach(dropped -> trace("drops " + dropped));
            mScheduler.takeAdviceRequests().forEach(this::requestAdvice);
            mScheduler.takeUnsavedProgress().forEach(this::save);
            mSessions.values().forEach(this::pollIfDue);
        }

        private void expireLeases(WorkerId id) {
            if (mDefect != Defect.KEEP_LEASES && mScheduler.mayHaveRuns(id)) {
                mScheduler.onLeaseExpired(id, mNowMs);
            }
        }

        private boolean removeIfDeparted(WorkerId id) {
            boolean departed = mScheduler.isRemovable(id, mNowMs);
            if (departed) {
                mScheduler.removeWorker(id);
            }
            return departed;
        }

        private void save(UnsavedProgress unsaved) {
            schedule(
                    20 + mRandom.nextInt(130),
                    () -> {
                        // The store rejects writes of earlier owners, and commits are in order.
                        boolean newer =
                                unsaved.version() > mSavedVersions.getOrDefault(unsaved.job(), -1L);
                        if (mOwner == this && newer) {
                            mSavedVersions.put(unsaved.job(), unsaved.version());
                            mSaved.put(unsaved.job(), unsaved.progress());
                            mScheduler.onSaved(unsaved.job(), unsaved.version(), mNowMs);
                        }
                    });
        }

        private void sendStart(Session session, JobAction.Start start) {
            LivenessWorker worker = session.mWorker;
            if (!session.mClockKnown || start.workerIncarnation() != session.mEntryIncarnation) {
                mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.EXPIRED, mNowMs);
                return;
            }
            long sentMs = mNowMs;
            long incarnation = worker.incarnation;
            session.mLeasesExpiredMs = Math.max(session.mLeasesExpiredMs, sentMs + LEASE_EXPIRY_MS);
            mScheduler.onStartSent(start.worker(), start.run(), sentMs);
            call(
                    session,
                    CONNECT_TIMEOUT_MS,
                    () -> start(worker, start, incarnation, sentMs + LivenessWorker.LEASE_MS),
                    OrderAnswer.UNKNOWN,
                    OrderAnswer.UNHEALTHY,
                    answer -> {
                        trace("start " + start.run() + " on " + start.worker() + ": " + answer);
                        if (answer == OrderAnswer.UNKNOWN) {
                            mCheck.onUnansweredStart(start.run(), worker, incarnation, sentMs);
                        }
                        mScheduler.onStartAnswer(start.worker(), start.run(), answer, mNowMs);
                    });
        }

        private OrderAnswer start(
                LivenessWorker worker, JobAction.Start start, long incarnation, long leaseMs) {
            if (worker.isFencedOff(mEpoch)) {
                return OrderAnswer.FENCED;
            }
            RunRef run = start.run();
            JobRecord job = mJobs.get(run.task().job());
            StepPlan step = job.plan().steps().get(run.task().step());
            boolean advised = job.queue().equals(JobSchedulerFixture.ADVISED);
            if (advised && !isValidTicket(start.ticket(), run.task(), worker)) {
                return OrderAnswer.BAD_TICKET;
            }
            // The expiry of an order means nothing on the clock of a later incarnation.
            boolean foreign = worker.incarnation != incarnation;
            long untilMs = foreign ? mNowMs + LivenessWorker.LEASE_MS : leaseMs;
            boolean known = worker.runs.containsKey(run);
            OrderAnswer answer = worker.admit(run, step, untilMs, mNowMs);
            if (answer == OrderAnswer.ACCEPTED && !known) {
                worker.runs.put(run, drawRun(worker, run, step));
                beginIfGangIsWhole(run, step);
            }
            return answer;
        }

        private void sendStop(Session session, JobAction.Stop stop) {
            long incarnation = session.mWorker.incarnation;
            call(
                    session,
                    CONNECT_TIMEOUT_MS,
                    () -> {
                        if (session.mWorker.isFencedOff(mEpoch)) {
                            return OrderAnswer.FENCED;
                        }
                        session.mWorker.stop(stop.run(), mNowMs + mRandom.nextInt(400));
                        return OrderAnswer.ACCEPTED;
                    },
                    OrderAnswer.UNKNOWN,
                    OrderAnswer.UNHEALTHY,
                    answer -> {
                        trace("stop " + stop.run() + " " + stop.reason() + ": " + answer);
                        boolean same = incarnation == session.mWorker.incarnation;
                        mScheduler.onStopAnswer(
                                stop.worker(),
                                stop.run(),
                                same ? answer : OrderAnswer.UNKNOWN,
                                mNowMs);
                    });
        }

        private void pollIfDue(Session session) {
            WorkerId id = session.mWorker.identity.id();
            if (session.mPollInFlight
                    || mNowMs < session.mNextPollMs
                    || !(session.mHasUnacknowledgedEnds || mScheduler.needsPoll(id))) {
                return;
            }
            long sentMs = mNowMs;
            long incarnation = session.mEntryIncarnation;
            boolean recent = !session.mUnreachable && sentMs - session.mLastResponseMs < 1_500;
            boolean lease =
                    mScheduler.mayHaveRuns(id) && session.mClockKnown && !session.mUnreachable;
            if (lease) {
                session.mLeasesExpiredMs =
                        Math.max(session.mLeasesExpiredMs, sentMs + LEASE_EXPIRY_MS);
            }
            long acknowledged = recent ? mScheduler.acknowledgedEnd(id) : 0;
            session.mPollInFlight = true;
            call(
                    session,
                    CONNECT_TIMEOUT_MS + (lease && recent ? 1_000 : 0),
                    () ->
                            session.mWorker.isFencedOff(mEpoch)
                                    ? null
                                    : session.mWorker.poll(
                                            acknowledged,
                                            lease ? sentMs + LivenessWorker.LEASE_MS : 0,
                                            mNowMs),
                    null,
                    null,
                    runs -> {
                        if (runs == null && (lease || acknowledged > 0)) {
                            mScheduler.onUnansweredCall(id, sentMs);
                        }
                        onPollReply(session, runs, sentMs, incarnation);
                    });
        }

        private void onPollReply(Session session, WorkerRuns runs, long sentMs, long incarnation) {
            WorkerId id = session.mWorker.identity.id();
            session.mPollInFlight = false;
            session.mUnreachable = runs == null;
            if (runs == null) {
                mScheduler.onWorkerUnresponsive(id);
                session.mNextPollMs = mNowMs + (mScheduler.mayHaveRuns(id) ? 250 : 1_500);
                return;
            }
            session.mLastResponseMs = mNowMs;
            session.mHasUnacknowledgedEnds = !runs.endedRuns().isEmpty();
            session.mClockKnown |= incarnation == session.mEntryIncarnation;
            session.mNextPollMs = Math.max(mNowMs, sentMs + 150);
            mScheduler.onRunReport(id, runs, sentMs, mNowMs);
        }

        /** The policy answers one request after the other. */
        private void requestAdvice(AdviceRequest request) {
            boolean unanswered = mDefect == Defect.MUTE_POLICY || strikes(Kind.POLICY_FAULTS, 6);
            boolean refused = strikes(Kind.POLICY_FAULTS, 3);
            mPolicyFreeMs = Math.max(mPolicyFreeMs, mNowMs) + 20 + 5L * request.workers().size();
            Map<WorkerId, String> tickets = new HashMap<>();
            TaskRef task = new TaskRef(request.job(), request.occurrence(), request.step(), 0);
            for (WorkerId id : request.workers()) {
                if (mWorkers.containsKey(id) && isAllowed(task, id)) {
                    tickets.put(id, ticket(task, mWorkers.get(id)) + (mPolicyFreeMs + 3_000));
                }
            }
            if (unanswered && mDefect == Defect.NONE) {
                // Until then, the request may hold up others.
                mDisturbedUntilMs = mNowMs + POLICY_TIMEOUT_MS;
            }
            schedule(
                    unanswered ? POLICY_TIMEOUT_MS : refused ? 20 : mPolicyFreeMs - mNowMs,
                    () -> {
                        if (mOwner == this) {
                            trace(request + " is allowed on " + (refused ? "none" : tickets));
                            boolean answered = !unanswered && !refused;
                            mScheduler.onAdvice(request, answered ? tickets : null, 3_000, mNowMs);
                        }
                    });
        }

        /** Sends a call with the faults of the network. */
        private <T> void call(
                Session session,
                long timeoutMs,
                Supplier<T> execution,
                T unknown,
                T unhealthy,
                Consumer<T> onReply) {
            LivenessWorker worker = session.mWorker;
            boolean[] replied = {false};
            Consumer<T> reply =
                    answer -> {
                        if (!replied[0] && mOwner == this) {
                            replied[0] = true;
                            onReply.accept(answer);
                        }
                    };
            schedule(timeoutMs, () -> reply.accept(unknown));
            boolean late = strikes(Kind.LATE_CALLS, 30);
            boolean unanswered = late || strikes(Kind.LOST_ANSWERS, 30);
            if (mNowMs < worker.unreachableUntilMs) {
                return;
            }
            schedule(
                    late ? 2_000 + mRandom.nextInt(10_000) : 5 + mRandom.nextInt(30),
                    () -> {
                        if (!worker.up) {
                            return;
                        }
                        T answer = mNowMs < worker.unhealthyUntilMs ? unhealthy : execution.get();
                        if (!unanswered && mNowMs >= worker.unreachableUntilMs) {
                            schedule(5 + mRandom.nextInt(30), () -> reply.accept(answer));
                        }
                    });
        }
    }

    private final long mSeed;
    private final Random mRandom;
    private final Set<Kind> mKinds;
    private final Defect mDefect;
    private final boolean mTraced;
    private final List<String> mTrace = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeMs).thenComparingLong(Event::order));
    private final Map<WorkerId, LivenessWorker> mWorkers = new LinkedHashMap<>();

    /** The workers that are in the directory. */
    private final Map<WorkerId, LivenessWorker> mEntries = new LinkedHashMap<>();

    /** When draining workers leave. */
    private final Map<WorkerId, Long> mDeparturesMs = new HashMap<>();

    private final Map<JobId, JobRecord> mJobs = new LinkedHashMap<>();
    private final Set<JobId> mCancelled = new HashSet<>();
    private final Set<JobId> mHopeless = new HashSet<>();
    private final Map<JobId, ProgressRecord> mSaved = new HashMap<>();
    private final Map<JobId, Integer> mFailedRuns = new HashMap<>();
    private final LivenessCheck mCheck;
    private final List<QueueConfig> mAllQueues;
    private final int mWorkerCount;
    private ClusterConfig mConfig;
    private JobId mForgottenJob;
    private long mNextEventOrder;
    private long mNowMs = 100_000;
    private long mPhaseEndMs;
    private boolean mFaultPhase;
    private long mPolicyFreeMs;
    private long mDisturbedUntilMs;
    private long mEpochs;
    private Owner mOwner;

    LivenessSimulation(long seed, Set<Kind> kinds, Defect defect, boolean traced) {
        mSeed = seed;
        mRandom = new Random(seed);
        mKinds = kinds.isEmpty() ? EnumSet.noneOf(Kind.class) : EnumSet.copyOf(kinds);
        mDefect = defect;
        mTraced = traced;
        mCheck =
                new LivenessCheck(
                        mWorkers.values(),
                        (task, worker) ->
                                !mJobs.get(task.job()).queue().equals(JobSchedulerFixture.ADVISED)
                                        || isAllowed(task, worker));
        mAllQueues = new ArrayList<>(JobSchedulerFixture.config().queues());
        mAllQueues.add(JobSchedulerFixture.queue(TEMPORARY, 1, 3, 1_500));
        mAllQueues.add(JobSchedulerFixture.queue(LASTING_QUEUE, 1, 3, 1_500));
        mConfig = configOf(mAllQueues, 1);
        mWorkerCount = 12 + mRandom.nextInt(13);
        for (int i = 0; i < mWorkerCount; i++) {
            addWorker(i);
        }
    }

    /** Returns the violations; the first one that was found comes first. */
    List<String> run() {
        mOwner = new Owner();
        if (mKinds.contains(Kind.LASTING)) {
            submitLastingJobs();
        }
        for (int i = 0; i < FAULT_PHASES; i++) {
            simulate(FAULT_PHASE_MS, true, i);
            simulate(i < FAULT_PHASES - 1 ? CALM_PHASE_MS : FINAL_PHASE_MS, false, i);
        }
        // Makes room for all others; what is cancelled may hold resources for good.
        mJobs.forEach(
                (id, job) -> {
                    if (job.plan().steps().get(0).longRunning()) {
                        cancel(id);
                    }
                });
        simulate(CLEARING_MS, false, FAULT_PHASES - 1);
        List<String> violations = new ArrayList<>(mCheck.violations());
        mJobs.keySet().forEach(id -> checkEnd(id, violations));
        return violations;
    }

    private void checkEnd(JobId id, List<String> violations) {
        WorkState state = mSaved.containsKey(id) ? mSaved.get(id).state() : WorkState.QUEUED;
        int failures = mFailedRuns.getOrDefault(id, 0);
        if (!state.isEnded()) {
            if (!mCheck.canProceed(id, mJobs.get(id), mSaved.get(id), mNowMs)) {
                return;
            }
            violations.add("UNENDED: " + id + " " + mJobs.get(id));
        } else if (state == WorkState.FAILED && failures < JobSchedulerFixture.MAX_ATTEMPTS) {
            violations.add("FAILED: " + id + " after " + failures + " runs, " + mJobs.get(id));
        }
    }

    private void simulate(long durationMs, boolean faults, int phase) {
        mPhaseEndMs = mNowMs + durationMs;
        mFaultPhase = faults;
        boolean last = !faults && phase == FAULT_PHASES - 1;
        while (mNowMs < mPhaseEndMs) {
            mNowMs += TICK_MS;
            while (!mEvents.isEmpty() && mEvents.peek().timeMs <= mNowMs) {
                mEvents.poll().action.run();
            }
            if (faults) {
                disturb();
            }
            mWorkers.values().forEach(this::endRuns);
            if (mOwner != null) {
                mOwner.pass();
            }
            if (mOwner == null
                    || mNowMs < mDisturbedUntilMs
                    || mWorkers.values().stream().anyMatch(w -> w.isDisturbed(mNowMs))) {
                mCheck.onDisturbance(mNowMs);
            }
            if (mNowMs % (4 * TICK_MS) == 0) {
                mCheck.check(unendedJobs(), mSaved, last, mNowMs);
            }
        }
    }

    private Map<JobId, JobRecord> unendedJobs() {
        Map<JobId, JobRecord> unended = new LinkedHashMap<>(mJobs);
        unended.keySet().removeAll(mCancelled);
        unended.keySet().removeIf(id -> mSaved.containsKey(id) && mSaved.get(id).state().isEnded());
        return unended;
    }

    private boolean strikes(Kind kind, int oneIn) {
        return mFaultPhase && mKinds.contains(kind) && mRandom.nextInt(oneIn) == 0;
    }

    /** Returns a time within the phase of faults. */
    private long drawFaultEndMs() {
        return Math.min(mPhaseEndMs, mNowMs + 500 + mRandom.nextInt(7_500));
    }

    private void disturb() {
        if (mRandom.nextInt(14) == 0) {
            submitJob();
        }
        if (strikes(Kind.QUEUE_CHANGES, 40)) {
            changeQueues();
        }
        if (strikes(Kind.OWNER_CHANGES, 80) && mOwner != null) {
            trace("the owner is replaced");
            mOwner = null;
            schedule(mRandom.nextInt(2_000), () -> mOwner = new Owner());
        }
        List<LivenessWorker> all = List.copyOf(mEntries.values());
        LivenessWorker worker = all.get(mRandom.nextInt(all.size()));
        if (!worker.up || worker.draining) {
            return;
        }
        WorkerId id = worker.identity.id();
        if (strikes(Kind.FAILING_WORKERS, 60)) {
            worker.failingUntilMs = drawFaultEndMs();
            trace(id + " fails all until " + worker.failingUntilMs);
        }
        if (strikes(Kind.REFUSALS, 60)) {
            worker.unhealthyUntilMs = drawFaultEndMs();
            trace(id + " is unhealthy until " + worker.unhealthyUntilMs);
        }
        if (strikes(Kind.SILENCE, 60)) {
            worker.unreachableUntilMs = drawFaultEndMs();
            trace(id + " is unreachable until " + worker.unreachableUntilMs);
        }
        if (strikes(Kind.RESTARTS, 60)) {
            crash(worker);
            long bootMs = Math.min(mPhaseEndMs - mNowMs, 100 + mRandom.nextInt(3_000));
            schedule(bootMs, () -> boot(worker));
        } else if (strikes(Kind.LOSSES, 90)) {
            lose(worker);
        } else if (strikes(Kind.DRAINS, 90)) {
            long staysMs = Math.min(mPhaseEndMs - mNowMs, 2_000 + mRandom.nextInt(6_000));
            worker.draining = true;
            mDeparturesMs.put(id, mNowMs + staysMs);
            trace(id + " drains for " + staysMs);
            announce(worker);
            schedule(staysMs + mRandom.nextInt(500), () -> lose(worker));
        }
    }

    private void crash(LivenessWorker worker) {
        trace(worker.identity.id() + " crashes");
        List<RunRef> runs = List.copyOf(worker.runs.keySet());
        worker.crash();
        runs.forEach(
                run -> {
                    mCheck.onRunEnded(run, mNowMs);
                    breakGang(run);
                });
    }

    private void boot(LivenessWorker worker) {
        worker.up = true;
        worker.incarnation = mNowMs;
        trace(worker.identity.id() + " boots");
        schedule(500 + mRandom.nextInt(1_000), () -> announce(worker));
    }

    /** Removes a worker for good; a similar one comes later. */
    private void lose(LivenessWorker worker) {
        WorkerId id = worker.identity.id();
        crash(worker);
        mCheck.onDisturbance(mNowMs);
        mWorkers.remove(id);
        schedule(
                mRandom.nextInt(6_000),
                () -> {
                    mEntries.remove(id);
                    if (mOwner != null) {
                        mOwner.mScheduler.onWorkerUnregistered(id);
                    }
                });
        int number = Integer.parseInt(id.value().substring(1));
        // A multiple of the numbers of racks and labels.
        schedule(1_000 + mRandom.nextInt(5_000), () -> addWorker(number + 1_200));
    }

    private void addWorker(int number) {
        String rack = "r" + number % 3;
        WorkerStatus status = JobSchedulerFixture.entry("w" + number, rack, DOMAIN);
        Set<String> labels = new HashSet<>(status.labels());
        if (number % 4 == 0) {
            labels.add("x");
        }
        LivenessWorker worker =
                new LivenessWorker(
                        new WorkerStatus(
                                status.id(),
                                mNowMs,
                                status.address(),
                                status.service(),
                                false,
                                0,
                                status.capacity(),
                                labels,
                                status.rack()));
        mWorkers.put(status.id(), worker);
        beat(worker);
    }

    /** Publishes a worker's entry, and again at each heartbeat. */
    private void beat(LivenessWorker worker) {
        if (mWorkers.containsValue(worker)) {
            if (worker.up) {
                announce(worker);
            }
            schedule(1_500, () -> beat(worker));
        }
    }

    private void announce(LivenessWorker worker) {
        if (worker.up) {
            mEntries.put(worker.identity.id(), worker);
            if (mOwner != null) {
                mOwner.onEntry(worker);
            }
        }
    }

    private void changeQueues() {
        QueueConfig queue = mAllQueues.get(mRandom.nextInt(mAllQueues.size()));
        List<QueueConfig> queues = new ArrayList<>(mConfig.queues());
        if (!queues.remove(queue)) {
            queues.add(queue);
        }
        trace("queues change: " + queue.name());
        mConfig = configOf(queues, mConfig.version() + 1);
        schedule(
                mRandom.nextInt(1_000),
                () -> {
                    if (mOwner != null) {
                        mOwner.mScheduler.onConfig(mConfig);
                    }
                });
    }

    private static ClusterConfig configOf(List<QueueConfig> queues, long version) {
        return new ClusterConfig(version, queues, JobSchedulerFixture.TEAMS);
    }

    private void submitLastingJobs() {
        int accelerators = WORKER_ACCELERATORS * mWorkerCount;
        int left = accelerators * (15 + mRandom.nextInt(60)) / 100;
        while (left > 0) {
            int need = 1 << mRandom.nextInt(4);
            int count = Math.min(Math.max(1, left / need), 1 + mRandom.nextInt(4));
            long estimateMs = Math.round(Math.pow(10, 3 + 2.8 * mRandom.nextDouble()));
            StepBuilder step = StepBuilder.step(count, need, estimateMs).longRunning();
            boolean advised = mKinds.contains(Kind.POLICY) && mRandom.nextInt(4) == 0;
            submit(
                    advised ? JobSchedulerFixture.ADVISED : LASTING_QUEUE,
                    new JobPlan("spec", List.of(constrain(step)), 0, 0, 0));
            left -= need * count;
        }
    }

    private void submitJob() {
        List<QueueName> queues = new ArrayList<>();
        addQueue(queues, JobSchedulerFixture.BULK, true);
        addQueue(queues, JobSchedulerFixture.URGENT, mKinds.contains(Kind.GUARANTEES));
        addQueue(queues, JobSchedulerFixture.ADVISED, mKinds.contains(Kind.POLICY));
        addQueue(queues, TEMPORARY, mKinds.contains(Kind.QUEUE_CHANGES));
        if (queues.isEmpty()) {
            return;
        }
        List<StepPlan> steps = new ArrayList<>();
        int count = 1 + mRandom.nextInt(3);
        for (int i = 0; i < count; i++) {
            steps.add(drawStep(i));
        }
        boolean repeated = mKinds.contains(Kind.REPEATED) && mRandom.nextInt(4) == 0;
        JobPlan plan =
                repeated
                        ? new JobPlan(
                                "spec",
                                steps,
                                2 + mRandom.nextInt(2),
                                mNowMs + mRandom.nextInt(2_000),
                                500 + mRandom.nextInt(3_000))
                        : new JobPlan("spec", steps, 0, 0, 0);
        JobId id = submit(queues.get(mRandom.nextInt(queues.size())), plan);
        if (mKinds.contains(Kind.HOPELESS) && mRandom.nextInt(6) == 0) {
            mHopeless.add(id);
        }
        if (strikes(Kind.CANCELS, 6)) {
            schedule(mRandom.nextInt(4_000), () -> cancel(id));
        }
    }

    private void addQueue(List<QueueName> queues, QueueName name, boolean used) {
        if (used && mConfig.queue(name).isPresent()) {
            queues.add(name);
        }
    }

    private StepPlan drawStep(int number) {
        boolean gang = mKinds.contains(Kind.GANGS) && mRandom.nextInt(5) < 2;
        int count = gang ? 2 + mRandom.nextInt(3) : 1 + mRandom.nextInt(4);
        int need = gang ? 4 + 4 * mRandom.nextInt(2) : 1 << mRandom.nextInt(4);
        StepBuilder step = StepBuilder.step(count, need, 200 + mRandom.nextInt(3_000));
        if (gang) {
            step.gang();
        }
        if (gang && mKinds.contains(Kind.RACKS) && mRandom.nextBoolean()) {
            step.rackLocal();
        }
        if (number > 0 && mRandom.nextInt(4) > 0) {
            step.after(number - 1);
        }
        return constrain(step);
    }

    private StepPlan constrain(StepBuilder step) {
        if (mKinds.contains(Kind.RACKS) && mRandom.nextInt(3) == 0) {
            step.dataRack("r" + mRandom.nextInt(3));
        }
        if (mKinds.contains(Kind.SPREADING) && mRandom.nextInt(3) == 0) {
            step.maxPerWorker(1 + mRandom.nextInt(2));
        }
        if (mKinds.contains(Kind.LABELS) && mRandom.nextInt(4) == 0) {
            step.label("x");
        }
        return step.build();
    }

    private JobId submit(QueueName queue, JobPlan plan) {
        JobId id = new JobId(String.format("%016x", mJobs.size()));
        TeamId team =
                mRandom.nextBoolean() ? JobSchedulerFixture.TEAM : JobSchedulerFixture.OTHER_TEAM;
        JobRecord record = new JobRecord(queue, team, plan, mNowMs);
        mJobs.put(id, record);
        mForgottenJob = mForgottenJob == null ? id : mForgottenJob;
        trace("accepts " + id + " " + record);
        schedule(
                mRandom.nextInt(100),
                () -> {
                    if (mOwner != null) {
                        mOwner.mScheduler.onJob(id, record, null, 0, mNowMs);
                    }
                });
        return id;
    }

    private void cancel(JobId id) {
        mCancelled.add(id);
        if (mOwner != null) {
            mOwner.mScheduler.onCancel(id, mNowMs);
        }
    }

    private boolean isAllowed(TaskRef task, WorkerId worker) {
        int hash = Objects.hash(mSeed, task.job(), task.occurrence(), task.step(), worker);
        return Math.floorMod(hash * 0x9E3779B9, 100) < 60;
    }

    private static String ticket(TaskRef task, LivenessWorker worker) {
        return String.join(
                "/",
                task.job().value(),
                String.valueOf(task.occurrence()),
                String.valueOf(task.step()),
                worker.identity.id().value(),
                String.valueOf(worker.incarnation),
                "");
    }

    private boolean isValidTicket(String ticket, TaskRef task, LivenessWorker worker) {
        String start = ticket(task, worker);
        return ticket.startsWith(start)
                && mNowMs < Long.parseLong(ticket.substring(start.length()));
    }

    private ActualRun drawRun(LivenessWorker worker, RunRef run, StepPlan step) {
        boolean fails = mNowMs < worker.failingUntilMs || mHopeless.contains(run.task().job());
        if (step.gang()) {
            return new ActualRun(step, mNowMs, mNowMs + GANG_TIMEOUT_MS, RunOutcome.ALONE);
        }
        if (fails) {
            return new ActualRun(step, mNowMs, mNowMs + drawFailureMs(), RunOutcome.FAILED);
        }
        if (step.longRunning()) {
            return strikes(Kind.TASK_FAILURES, 3)
                    ? new ActualRun(
                            step, mNowMs, mNowMs + 500 + mRandom.nextInt(9_000), RunOutcome.FAILED)
                    : new ActualRun(step, mNowMs, Long.MAX_VALUE, RunOutcome.DONE);
        }
        RunOutcome outcome = strikes(Kind.TASK_FAILURES, 12) ? RunOutcome.FAILED : RunOutcome.DONE;
        return new ActualRun(step, mNowMs, mNowMs + drawDurationMs(step), outcome);
    }

    private long drawFailureMs() {
        return 50L + mRandom.nextInt(500);
    }

    private long drawDurationMs(StepPlan step) {
        return Math.round(step.estimateMs() * (0.6 + mRandom.nextDouble()));
    }

    /** A gang begins to work when its last member has started. */
    private void beginIfGangIsWhole(RunRef run, StepPlan step) {
        Map<RunRef, LivenessWorker> members = step.gang() ? mCheck.gangOf(run) : Map.of();
        if (members.size() < step.count() || !step.gang()) {
            return;
        }
        long endsMs = mNowMs + drawDurationMs(step);
        members.forEach(
                (member, worker) -> {
                    ActualRun actual = worker.runs.get(member);
                    if (actual.outcome == RunOutcome.ALONE) {
                        actual.endsAtMs = endsMs;
                        actual.outcome = RunOutcome.DONE;
                    }
                });
        LivenessWorker worker = members.get(run);
        boolean fails = mNowMs < worker.failingUntilMs || mHopeless.contains(run.task().job());
        if (fails || strikes(Kind.TASK_FAILURES, 12)) {
            worker.runs.get(run).endsAtMs = mNowMs + drawFailureMs();
            worker.runs.get(run).outcome = RunOutcome.FAILED;
        }
    }

    private void endRuns(LivenessWorker worker) {
        for (RunRef run : List.copyOf(worker.runs.keySet())) {
            ActualRun actual = worker.runs.get(run);
            if (actual != null && worker.isLapsed(mNowMs)) {
                end(worker, run, RunOutcome.LAPSED);
            } else if (actual != null && mNowMs >= actual.endsAtMs) {
                end(worker, run, actual.outcome);
            }
        }
    }

    private void end(LivenessWorker worker, RunRef run, RunOutcome outcome) {
        boolean gang = worker.runs.get(run).plan.gang();
        trace(run + " ends " + outcome + " on " + worker.identity.id());
        worker.end(run, outcome);
        mCheck.onRunEnded(run, mNowMs);
        if (outcome == RunOutcome.FAILED) {
            mFailedRuns.merge(run.task().job(), 1, Integer::sum);
        }
        if (gang && outcome == RunOutcome.DONE) {
            mCheck.gangOf(run).forEach((member, other) -> endTogether(other, member));
        } else if (gang && outcome != RunOutcome.BROKEN) {
            breakGang(run);
        }
    }

    private void endTogether(LivenessWorker worker, RunRef run) {
        worker.end(run, RunOutcome.DONE);
        mCheck.onRunEnded(run, mNowMs);
    }

    private void breakGang(RunRef run) {
        StepPlan step = mJobs.get(run.task().job()).plan().steps().get(run.task().step());
        if (step.gang()) {
            mCheck.gangOf(run).forEach((member, other) -> end(other, member, RunOutcome.BROKEN));
        }
    }

    /** Returns what happened, if the simulation is traced. */
    List<String> trace() {
        return mTrace;
    }

    private void trace(String event) {
        if (mTraced) {
            mTrace.add(mNowMs + " " + event);
        }
    }

    private void schedule(long delayMs, Runnable action) {
        mEvents.add(new Event(mNowMs + delayMs, mNextEventOrder++, action));
    }
}
