package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskState;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.WorkerInfo;

/**
 * A placement core, simulated workers and a seeded network that delays, loses and duplicates
 * messages.
 *
 * <p>Fails the test when a gang runs in part for too long, when two attempts of a job run at the
 * same time, when START is sent before all members have confirmed, or when a published job state
 * contradicts what ran.
 */
final class SimulatedCluster {
    static final RegionId REGION = new RegionId("r");
    private static final int TICK_INTERVAL_MS = 100;
    private static final int REPORT_INTERVAL_MS = 1_000;

    /** A message in transit; the recipient is the core if {@code worker} is null. */
    private record Message(
            long dueAtMs, long number, long token, WorkerId worker, Object content) {}

    private record Attempt(JobId job, int attempt) {}

    final Map<WorkerId, SimulatedWorker> mWorkers = new LinkedHashMap<>();
    final List<WorkerInfo> mWorkerInfos = new ArrayList<>();
    final Map<JobId, JobState> mJobStates = new LinkedHashMap<>();
    final Map<JobId, JobSpec> mJobSpecs = new HashMap<>();
    final Set<JobId> mStartedJobs = new TreeSet<>();
    final Set<JobId> mFinishedJobs = new TreeSet<>();
    final Map<JobId, Long> mStartedAtMs = new HashMap<>();
    final PlacementSettings mSettings = PlacementSettings.defaults(REGION);
    GangPlacementCore mCore = new GangPlacementCore(mSettings);
    Random mRandom = new Random(7);
    double mLossProbability;
    double mDuplicateProbability;
    int mMaxDelayMs = 2;
    OperatorTable mTable = new OperatorTable(0, List.of());
    long mNowMs = 1_000;
    long mFencingToken;
    long mMaxPartialRunMs = 6_400;
    private final Map<JobId, Long> mPublishedByToken = new HashMap<>();
    private final Map<Attempt, Set<Integer>> mConfirmedMembers = new HashMap<>();
    private long mNextMessageNumber;
    private final Map<Attempt, Long> mPartialSinceMs = new HashMap<>();
    private final PriorityQueue<Message> mNetwork =
            new PriorityQueue<>(
                    Comparator.comparingLong(Message::dueAtMs).thenComparingLong(Message::number));

    /** Builds racks of workers with the given accelerators and gains ownership. */
    SimulatedCluster(int[]... racks) {
        for (int rack = 0; rack < racks.length; rack++) {
            for (int i = 0; i < racks[rack].length; i++) {
                WorkerInfo info = worker("w" + rack + "-" + i, "rack" + rack, racks[rack][i]);
                mWorkerInfos.add(info);
                mWorkers.put(info.id(), new SimulatedWorker(info.id()));
            }
        }
        handle(new PlacementEvent.WorkersChanged(mWorkerInfos));
        changeOwner();
    }

    static WorkerInfo worker(String id, String rack, int accelerators) {
        return new WorkerInfo(
                new WorkerId(id),
                REGION,
                new FailureDomainId("d"),
                new RackId(rack),
                accelerators,
                new HostPort("127.0.0.1", 1));
    }

    static JobSpec spec(String id, String team, String shape, boolean urgent) {
        return new JobSpec(
                new JobId(id),
                new TeamId(team),
                new KindId("render"),
                REGION,
                Shape.parse(shape),
                urgent,
                60_000,
                "");
    }

    SimulatedWorker worker(String id) {
        return mWorkers.get(new WorkerId(id));
    }

    JobState state(String job) {
        return mJobStates.get(new JobId(job));
    }

    void submit(String id, String team, String shape) {
        submit(spec(id, team, shape, false));
    }

    void submit(JobSpec spec) {
        mJobSpecs.put(spec.id(), spec);
        mJobStates.put(spec.id(), JobState.QUEUED);
        handle(new PlacementEvent.JobSubmitted(spec));
    }

    void cancel(String id) {
        handle(new PlacementEvent.JobCancelled(new JobId(id)));
    }

    /** Replaces the core by a new owner and submits all jobs that have not ended to it. */
    void changeOwner() {
        mCore = new GangPlacementCore(mSettings);
        handle(new PlacementEvent.WorkersChanged(mWorkerInfos));
        handle(new PlacementEvent.TableChanged(mTable));
        handle(new PlacementEvent.OwnershipGained(++mFencingToken));
        mNetwork.removeIf(message -> message.worker() == null);
        for (SimulatedWorker worker : mWorkers.values()) {
            worker.mToken = mFencingToken;
            if (worker.mAlive && !worker.mPartitioned) {
                report(worker);
            }
        }
        mJobStates.forEach(
                (job, state) -> {
                    if (!state.isFinal()) {
                        handle(new PlacementEvent.JobSubmitted(mJobSpecs.get(job)));
                    }
                });
    }

    void handle(PlacementEvent event) {
        if (event instanceof PlacementEvent.OrderAnswered answer
                && answer.kind() == OrderKind.CONFIRM
                && answer.accepted()) {
            mConfirmedMembers
                    .computeIfAbsent(
                            new Attempt(answer.job(), answer.attempt()), a -> new TreeSet<>())
                    .add(answer.member());
        }
        for (PlacementAction action : mCore.handle(event, mNowMs)) {
            if (action instanceof PlacementAction.JobChanged changed) {
                JobState previous = mJobStates.get(changed.job());
                checkOutcome(changed);
                if (previous == null || !previous.isFinal()) {
                    mJobStates.put(changed.job(), changed.state());
                    mPublishedByToken.put(changed.job(), mFencingToken);
                } else if (previous != changed.state()
                        && mPublishedByToken.get(changed.job()) == mFencingToken) {
                    throw new AssertionError(
                            "job "
                                    + changed.job()
                                    + " changed from final state "
                                    + previous
                                    + " to "
                                    + changed.state());
                }
            } else if (action instanceof PlacementAction.SendOrder send) {
                checkStartOrder(send.order());
                send(send.worker(), send.order());
            }
        }
    }

    private void checkStartOrder(Order order) {
        Attempt attempt = new Attempt(order.job(), order.attempt());
        if (order.kind() == OrderKind.START
                && mConfirmedMembers.getOrDefault(attempt, Set.of()).size()
                        < memberCount(attempt)) {
            throw new AssertionError("START sent for " + attempt + " before all members confirmed");
        }
    }

    private void checkOutcome(PlacementAction.JobChanged changed) {
        if (changed.state() == JobState.NOT_RUN && mStartedJobs.contains(changed.job())) {
            throw new AssertionError("job " + changed.job() + " published as NOT_RUN but has run");
        }
        if (changed.state() == JobState.DONE && !mFinishedJobs.contains(changed.job())) {
            throw new AssertionError(
                    "job " + changed.job() + " published as DONE but has not finished");
        }
    }

    /** Advances the simulated time. */
    void runFor(long durationMs) {
        long endMs = mNowMs + durationMs;
        while (mNowMs < endMs) {
            advanceTo(Math.min(endMs, nextEventAtMs()));
        }
    }

    /** Marks every running task of the job as done; the job is finished if all members ran. */
    void finish(String job) {
        Set<Integer> attempts = runningAttempts(job);
        for (int attempt : attempts) {
            if (runningMembers(job) == memberCount(new Attempt(new JobId(job), attempt))) {
                mFinishedJobs.add(new JobId(job));
            }
        }
        endRunningTasks(job, TaskState.DONE);
    }

    void endRunningTasks(String job, TaskState state) {
        mWorkers.values().forEach(worker -> endRunningTasksOn(worker, job, state));
    }

    void endRunningTasksOn(SimulatedWorker worker, String job, TaskState state) {
        worker.mTasks.forEach(
                (key, task) -> {
                    if (key.job().value().equals(job) && task.mState == TaskState.RUNNING) {
                        task.mState = state;
                    }
                });
    }

    long runningMembers(String job) {
        return mWorkers.values().stream()
                .filter(worker -> worker.mAlive)
                .flatMap(worker -> worker.mTasks.entrySet().stream())
                .filter(
                        e ->
                                e.getKey().job().value().equals(job)
                                        && e.getValue().mState == TaskState.RUNNING)
                .count();
    }

    /** Returns when the first member started, or {@code Long.MAX_VALUE} if none has. */
    long startedAtMs(String job) {
        return mStartedAtMs.getOrDefault(new JobId(job), Long.MAX_VALUE);
    }

    Set<Integer> runningAttempts(String job) {
        Set<Integer> attempts = new TreeSet<>();
        for (SimulatedWorker worker : mWorkers.values()) {
            worker.mTasks.forEach(
                    (key, task) -> {
                        if (key.job().value().equals(job) && task.mState == TaskState.RUNNING) {
                            attempts.add(key.attempt());
                        }
                    });
        }
        return attempts;
    }

    private long nextEventAtMs() {
        long nextTickMs = (mNowMs / TICK_INTERVAL_MS + 1) * TICK_INTERVAL_MS;
        Message next = mNetwork.peek();
        return next == null ? nextTickMs : Math.max(mNowMs, Math.min(nextTickMs, next.dueAtMs()));
    }

    private void advanceTo(long timeMs) {
        mNowMs = timeMs;
        while (!mNetwork.isEmpty() && mNetwork.peek().dueAtMs() <= mNowMs) {
            receive(mNetwork.poll());
        }
        if (mNowMs % TICK_INTERVAL_MS == 0) {
            for (SimulatedWorker worker : mWorkers.values()) {
                worker.expire(mNowMs);
                if (mNowMs % REPORT_INTERVAL_MS == 0 && worker.mAlive && !worker.mPartitioned) {
                    report(worker);
                }
            }
            handle(new PlacementEvent.Tick());
            checkPartialRuns();
        }
    }

    /** Fails if part of a gang runs for longer than the bound or two attempts of a job run. */
    private void checkPartialRuns() {
        Map<Attempt, Integer> running = new HashMap<>();
        Map<Attempt, Integer> done = new HashMap<>();
        Map<JobId, Integer> attempts = new HashMap<>();
        for (SimulatedWorker worker : mWorkers.values()) {
            worker.mTasks.forEach(
                    (key, task) -> {
                        Attempt attempt = new Attempt(key.job(), key.attempt());
                        if (worker.mAlive && task.mState == TaskState.RUNNING) {
                            running.merge(attempt, 1, Integer::sum);
                            Integer other = attempts.put(key.job(), key.attempt());
                            if (other != null && other != key.attempt()) {
                                throw new AssertionError(
                                        "attempts "
                                                + other
                                                + " and "
                                                + key.attempt()
                                                + " of job "
                                                + key.job()
                                                + " run at the same time");
                            }
                        } else if (task.mState == TaskState.DONE) {
                            done.merge(attempt, 1, Integer::sum);
                        }
                    });
        }
        mPartialSinceMs
                .keySet()
                .removeIf(
                        a ->
                                running.getOrDefault(a, 0) + done.getOrDefault(a, 0)
                                                >= memberCount(a)
                                        || !running.containsKey(a));
        running.forEach(
                (attempt, count) -> {
                    if (count + done.getOrDefault(attempt, 0) < memberCount(attempt)) {
                        long sinceMs = mPartialSinceMs.computeIfAbsent(attempt, a -> mNowMs);
                        if (mNowMs - sinceMs > mMaxPartialRunMs) {
                            throw new AssertionError(
                                    attempt + " has run in part since " + sinceMs + " ms");
                        }
                    }
                });
    }

    private int memberCount(Attempt attempt) {
        return mJobSpecs.get(attempt.job()).shape().workers();
    }

    private void report(SimulatedWorker worker) {
        send(null, new PlacementEvent.WorkerReported(worker.report()));
    }

    private void receive(Message message) {
        if (message.worker() == null) {
            handle((PlacementEvent) message.content());
            return;
        }
        SimulatedWorker worker = mWorkers.get(message.worker());
        if (worker.mPartitioned) {
            return;
        }
        if (!worker.mAlive) {
            handle(new PlacementEvent.WorkerUnreachable(worker.mId));
            return;
        }
        if (message.token() < worker.mToken) {
            return;
        }
        Order order = (Order) message.content();
        PlacementEvent answer = worker.handleOrder(order, mNowMs);
        worker.mTasks.forEach(
                (key, task) -> {
                    if (task.mState == TaskState.RUNNING) {
                        mStartedJobs.add(key.job());
                        mStartedAtMs.putIfAbsent(key.job(), mNowMs);
                    }
                });
        send(null, answer);
    }

    private void send(WorkerId worker, Object content) {
        int copies = mRandom.nextDouble() < mDuplicateProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextDouble() >= mLossProbability) {
                long dueAtMs = mNowMs + 1 + mRandom.nextInt(mMaxDelayMs);
                mNetwork.add(
                        new Message(dueAtMs, mNextMessageNumber++, mFencingToken, worker, content));
            }
        }
    }
}
