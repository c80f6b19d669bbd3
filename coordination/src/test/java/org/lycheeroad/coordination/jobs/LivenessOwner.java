package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.coordination.jobs.LivenessWorld.Defect;
import org.lycheeroad.coordination.jobs.LivenessWorld.Kind;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkerRuns;

/** One owner during its term, which calls the workers and the policy over a network with faults. */
final class LivenessOwner {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long LEASE_EXPIRY_MS = JobSchedulerFixture.SETTINGS.orderExpiryMs();

    /** As in the owner session of production. */
    private static final long POLICY_TIMEOUT_MS = 10_000;

    /** How long tickets are valid. */
    private static final long TICKET_MS = 3_000;

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

    private final JobScheduler mScheduler = new JobScheduler(JobSchedulerFixture.SETTINGS);
    private final Map<WorkerId, Session> mSessions = new LinkedHashMap<>();
    private final Map<JobId, Long> mSavedVersions = new HashMap<>();
    private final LivenessWorld mWorld;
    private final LivenessRuns mRuns;
    private final long mEpoch;
    private final Predicate<LivenessOwner> mIsCurrent;
    private final long mBornMs;
    private long mPolicyFreeMs;

    LivenessOwner(
            LivenessWorld world,
            LivenessRuns runs,
            long epoch,
            Predicate<LivenessOwner> isCurrent) {
        mWorld = world;
        mRuns = runs;
        mEpoch = epoch;
        mIsCurrent = isCurrent;
        mBornMs = world.nowMs;
        mScheduler.onConfig(mWorld.config);
        mScheduler.onEvacuations(mWorld.evacuations);
        mWorld.jobs.forEach(
                (id, record) -> {
                    if (mWorld.defect != Defect.FORGET_JOB
                            || !id.equals(mWorld.jobs.keySet().iterator().next())) {
                        long ageMs = mWorld.nowMs - record.acceptedAtMs();
                        mScheduler.onJob(id, record, mWorld.saved.get(id), ageMs, mWorld.nowMs);
                    }
                });
        mWorld.cancelled.forEach(id -> mScheduler.onCancel(id, mWorld.nowMs));
        mWorld.entries.values().forEach(this::onEntry);
    }

    void onEntry(LivenessWorker worker) {
        WorkerId id = worker.identity.id();
        long staysMs = Math.max(0, mWorld.departuresMs.getOrDefault(id, 0L) - mWorld.nowMs);
        mScheduler.onWorkerEntry(worker.entry(staysMs), mWorld.nowMs);
        Session session = mSessions.computeIfAbsent(id, k -> new Session(worker, mWorld.nowMs));
        session.mClockKnown &= session.mEntryIncarnation == worker.incarnation;
        session.mEntryIncarnation = worker.incarnation;
    }

    JobScheduler scheduler() {
        return mScheduler;
    }

    /** As the owner session and its worker sessions do it. */
    void pass() {
        mSessions.forEach(
                (id, session) -> {
                    if (session.mUnreachable && mWorld.nowMs > session.mLeasesExpiredMs) {
                        expireLeases(id);
                    }
                });
        for (WorkerId id : mScheduler.workersWithRuns()) {
            if (!mSessions.containsKey(id) && mWorld.nowMs > mBornMs + LEASE_EXPIRY_MS) {
                expireLeases(id);
            }
        }
        mSessions.keySet().removeIf(this::removeIfDeparted);
        mScheduler.runDecisionRound(mWorld.nowMs, mWorld.nowMs);
        // Sorted, as the order of preempted runs may differ between executions of a seed.
        List<JobAction> actions = new ArrayList<>(mScheduler.takeActions());
        actions.sort(Comparator.comparing(action -> action.run().toString()));
        for (JobAction action : actions) {
            Session session = mSessions.get(action.worker());
            if (session != null && action instanceof JobAction.Start start) {
                sendStart(session, start);
            } else if (session != null && action instanceof JobAction.Stop stop) {
                sendStop(session, stop);
            }
        }
        mScheduler.takeDroppedRuns().forEach(dropped -> mWorld.trace("drops " + dropped));
        mScheduler.takeAdviceRequests().forEach(this::requestAdvice);
        mScheduler.takeUnsavedProgress().stream()
                .sorted(Comparator.comparing(unsaved -> unsaved.job().value()))
                .forEach(this::save);
        mSessions.values().forEach(this::pollIfDue);
    }

    private void expireLeases(WorkerId id) {
        if (mWorld.defect != Defect.KEEP_LEASES && mScheduler.mayHaveRuns(id)) {
            mScheduler.onLeaseExpired(id, mWorld.nowMs);
        }
    }

    private boolean removeIfDeparted(WorkerId id) {
        boolean departed = mScheduler.isRemovable(id, mWorld.nowMs);
        if (departed) {
            mScheduler.removeWorker(id);
        }
        return departed;
    }

    private void save(UnsavedProgress unsaved) {
        mWorld.schedule(
                20 + mWorld.random.nextInt(130),
                () -> {
                    // The store rejects writes of earlier owners, and commits are in order.
                    boolean newer =
                            unsaved.version() > mSavedVersions.getOrDefault(unsaved.job(), -1L);
                    if (mIsCurrent.test(this) && newer) {
                        mSavedVersions.put(unsaved.job(), unsaved.version());
                        mWorld.saved.put(unsaved.job(), unsaved.progress());
                        mScheduler.onSaved(unsaved.job(), unsaved.version(), mWorld.nowMs);
                    }
                });
    }

    private void sendStart(Session session, JobAction.Start start) {
        LivenessWorker worker = session.mWorker;
        if (!session.mClockKnown || start.workerIncarnation() != session.mEntryIncarnation) {
            mScheduler.onStartAnswer(
                    start.worker(), start.run(), OrderAnswer.EXPIRED, mWorld.nowMs);
            return;
        }
        long sentMs = mWorld.nowMs;
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
                    mWorld.trace("start " + start.run() + " on " + start.worker() + ": " + answer);
                    if (answer == OrderAnswer.UNKNOWN) {
                        mWorld.check.onUnansweredStart(start.run(), worker, incarnation, sentMs);
                    }
                    mScheduler.onStartAnswer(start.worker(), start.run(), answer, mWorld.nowMs);
                });
    }

    private OrderAnswer start(
            LivenessWorker worker, JobAction.Start start, long incarnation, long leaseMs) {
        if (worker.isFencedOff(mEpoch)) {
            return OrderAnswer.FENCED;
        }
        RunRef run = start.run();
        JobRecord job = mWorld.jobs.get(run.task().job());
        StepPlan step = job.plan().steps().get(run.task().step());
        boolean advised = job.queue().equals(JobSchedulerFixture.ADVISED);
        if (advised && !isValidTicket(start.ticket(), run.task(), worker)) {
            return OrderAnswer.BAD_TICKET;
        }
        // The expiry of an order means nothing on the clock of a later incarnation.
        boolean foreign = worker.incarnation != incarnation;
        long untilMs = foreign ? mWorld.nowMs + LivenessWorker.LEASE_MS : leaseMs;
        boolean known = worker.runs.containsKey(run);
        OrderAnswer answer = worker.admit(run, step, untilMs, mWorld.nowMs);
        if (answer == OrderAnswer.ACCEPTED && !known) {
            mRuns.begin(worker, run, step);
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
                    session.mWorker.stop(stop.run(), mWorld.nowMs + mWorld.random.nextInt(400));
                    return OrderAnswer.ACCEPTED;
                },
                OrderAnswer.UNKNOWN,
                OrderAnswer.UNHEALTHY,
                answer -> {
                    mWorld.trace("stop " + stop.run() + " " + stop.reason() + ": " + answer);
                    boolean same = incarnation == session.mWorker.incarnation;
                    mScheduler.onStopAnswer(
                            stop.worker(),
                            stop.run(),
                            same ? answer : OrderAnswer.UNKNOWN,
                            mWorld.nowMs);
                });
    }

    private void pollIfDue(Session session) {
        WorkerId id = session.mWorker.identity.id();
        if (session.mPollInFlight
                || mWorld.nowMs < session.mNextPollMs
                || !(session.mHasUnacknowledgedEnds || mScheduler.needsPoll(id))) {
            return;
        }
        long sentMs = mWorld.nowMs;
        long incarnation = session.mEntryIncarnation;
        boolean recent = !session.mUnreachable && sentMs - session.mLastResponseMs < 1_500;
        boolean lease = mScheduler.mayHaveRuns(id) && session.mClockKnown && !session.mUnreachable;
        if (lease) {
            session.mLeasesExpiredMs = Math.max(session.mLeasesExpiredMs, sentMs + LEASE_EXPIRY_MS);
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
                                        mWorld.nowMs),
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
            session.mNextPollMs = mWorld.nowMs + (mScheduler.mayHaveRuns(id) ? 250 : 1_500);
            return;
        }
        session.mLastResponseMs = mWorld.nowMs;
        session.mHasUnacknowledgedEnds = !runs.endedRuns().isEmpty();
        session.mClockKnown |= incarnation == session.mEntryIncarnation;
        session.mNextPollMs = Math.max(mWorld.nowMs, sentMs + 150);
        mScheduler.onRunReport(id, runs, sentMs, mWorld.nowMs);
    }

    /** The policy answers one request after the other. */
    private void requestAdvice(AdviceRequest request) {
        boolean unanswered =
                mWorld.defect == Defect.MUTE_POLICY || mWorld.strikes(Kind.POLICY_FAULTS, 6);
        boolean refused = mWorld.strikes(Kind.POLICY_FAULTS, 3);
        mPolicyFreeMs = Math.max(mPolicyFreeMs, mWorld.nowMs) + 20 + 5L * request.workers().size();
        Map<WorkerId, String> tickets = new HashMap<>();
        TaskRef task = new TaskRef(request.job(), request.occurrence(), request.step(), 0);
        for (WorkerId id : request.workers()) {
            if (mWorld.workers.containsKey(id) && mWorld.isAllowed(task, id)) {
                tickets.put(id, ticket(task, mWorld.workers.get(id)) + (mPolicyFreeMs + TICKET_MS));
            }
        }
        if (unanswered && mWorld.defect == Defect.NONE) {
            // Until then, the request may hold up others.
            mWorld.disturbedUntilMs = mWorld.nowMs + POLICY_TIMEOUT_MS;
        }
        mWorld.schedule(
                unanswered ? POLICY_TIMEOUT_MS : refused ? 20 : mPolicyFreeMs - mWorld.nowMs,
                () -> {
                    if (mIsCurrent.test(this)) {
                        mWorld.trace(request + " is allowed on " + (refused ? "none" : tickets));
                        boolean answered = !unanswered && !refused;
                        mScheduler.onAdvice(
                                request, answered ? tickets : null, TICKET_MS, mWorld.nowMs);
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
                    if (!replied[0] && mIsCurrent.test(this)) {
                        replied[0] = true;
                        onReply.accept(answer);
                    }
                };
        mWorld.schedule(timeoutMs, () -> reply.accept(unknown));
        boolean late = mWorld.strikes(Kind.LATE_CALLS, 30);
        boolean unanswered = late || mWorld.strikes(Kind.LOST_ANSWERS, 30);
        if (mWorld.nowMs < worker.unreachableUntilMs) {
            return;
        }
        mWorld.schedule(
                late ? 2_000 + mWorld.random.nextInt(10_000) : mWorld.drawLatencyMs(),
                () -> {
                    if (!worker.up) {
                        return;
                    }
                    T answer = mWorld.nowMs < worker.unhealthyUntilMs ? unhealthy : execution.get();
                    if (!unanswered && mWorld.nowMs >= worker.unreachableUntilMs) {
                        mWorld.schedule(mWorld.drawLatencyMs(), () -> reply.accept(answer));
                    }
                });
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
                && mWorld.nowMs < Long.parseLong(ticket.substring(start.length()));
    }
}
