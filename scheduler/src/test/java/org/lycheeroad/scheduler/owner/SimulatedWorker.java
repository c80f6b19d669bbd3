package org.lycheeroad.scheduler.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lycheeroad.coordination.jobs.OrderAnswer;
import org.lycheeroad.scheduler.port.WorkerGateway.PollReply;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;

/** A worker that follows the platform's protocol in virtual time. */
final class SimulatedWorker {
    static final long MAX_LEASE_MS = 6_000;

    /** Few, so that reports leave some ended runs out; the platform lists 500. */
    private static final int MAX_LISTED_ENDS = 3;

    private static final int MAX_RUNS = 2;
    private static final int MAX_STOP_MS = 400;

    /** From this progress on, the scheduler does not take a run as stalled. */
    private static final int PERCENT = 95;

    /** Notified of the ends of runs, except those that a crash ends. */
    interface EndListener {
        void onRunEnded(SimulatedWorker worker, RunRef run, RunOutcome outcome);
    }

    /** A run with the time and manner of its end. */
    private record PlannedEnd(long atMs, RunOutcome outcome) {}

    /** A poll that waits for an end. */
    private record WaitingPoll(long untilMs, Consumer<PollReply> reply) {}

    private final WorkerId mId;
    private final Random mRandom;
    private final LongSupplier mNow;
    private final EndListener mEndListener;
    private final Map<RunRef, PlannedEnd> mRunning = new LinkedHashMap<>();
    private final Map<TaskRef, Integer> mHighestRefusedAttempts = new HashMap<>();
    private final List<EndedRun> mEnds = new ArrayList<>();
    private final List<WaitingPoll> mWaitingPolls = new ArrayList<>();
    private boolean mUp;
    private long mBornMs;
    private long mBootedAtMs;
    private long mFirstClockMs;
    private double mClockRate;
    private long mEpoch;
    private long mLastEndNumber;

    /** On this worker's clock; 0 without a lease. */
    private long mLeaseUntilMs;

    private int mLapses;
    private long mPartitionedUntilMs;
    private long mUnhealthyUntilMs;

    SimulatedWorker(WorkerId id, Random random, LongSupplier now, EndListener listener) {
        mId = id;
        mRandom = random;
        mNow = now;
        mEndListener = listener;
    }

    WorkerId id() {
        return mId;
    }

    long bornMs() {
        return mBornMs;
    }

    long lastEndNumber() {
        return mLastEndNumber;
    }

    /** Returns how often a lease has expired or the worker has crashed. */
    int lapses() {
        return mLapses;
    }

    boolean isUp() {
        return mUp;
    }

    boolean isPartitioned() {
        return mNow.getAsLong() < mPartitionedUntilMs;
    }

    void partitionUntil(long timeMs) {
        mPartitionedUntilMs = timeMs;
    }

    boolean isUnhealthy() {
        return mNow.getAsLong() < mUnhealthyUntilMs;
    }

    void makeUnhealthyUntil(long timeMs) {
        mUnhealthyUntilMs = timeMs;
    }

    boolean isRunning(RunRef run) {
        return mRunning.containsKey(run);
    }

    List<RunRef> runsOf(TaskRef task) {
        return mRunning.keySet().stream().filter(run -> run.task().equals(task)).toList();
    }

    void crash() {
        mUp = false;
        mLapses++;
        mRunning.clear();
        mHighestRefusedAttempts.clear();
        mEnds.clear();
        mWaitingPolls.clear();
    }

    /** Starts a new incarnation, whose clock starts anew. */
    void boot(long bornMs, double clockRate) {
        mUp = true;
        mBornMs = bornMs;
        mBootedAtMs = mNow.getAsLong();
        mFirstClockMs = 1L + (mRandom.nextBoolean() ? 0 : mRandom.nextInt(1_000_000));
        mClockRate = clockRate;
        mEpoch = 0;
        mLastEndNumber = 0;
        mLeaseUntilMs = 0;
    }

    private long clockMs() {
        return mFirstClockMs + (long) ((mNow.getAsLong() - mBootedAtMs) * mClockRate);
    }

    /** Ends runs that are due, and replies to polls that have waited long enough. */
    void advance() {
        if (!mUp) {
            return;
        }
        long nowMs = mNow.getAsLong();
        boolean lapsed = mLeaseUntilMs > 0 && clockMs() >= mLeaseUntilMs;
        for (Map.Entry<RunRef, PlannedEnd> run : List.copyOf(mRunning.entrySet())) {
            if (lapsed) {
                end(run.getKey(), RunOutcome.LAPSED);
            } else if (nowMs >= run.getValue().atMs()) {
                end(run.getKey(), run.getValue().outcome());
            }
        }
        if (lapsed) {
            mLeaseUntilMs = 0;
            mLapses++;
        }
        for (WaitingPoll poll : List.copyOf(mWaitingPolls)) {
            if (!mEnds.isEmpty() || nowMs >= poll.untilMs()) {
                mWaitingPolls.remove(poll);
                poll.reply().accept(report());
            }
        }
    }

    private void end(RunRef run, RunOutcome outcome) {
        mRunning.remove(run);
        mHighestRefusedAttempts.merge(run.task(), run.attempt(), Math::max);
        mEnds.add(new EndedRun(++mLastEndNumber, run, outcome, ""));
        mEndListener.onRunEnded(this, run, outcome);
    }

    private boolean isFencedOff(long epoch) {
        if (epoch < mEpoch) {
            return true;
        }
        mEpoch = epoch;
        return false;
    }

    private void extendLease(long untilMs) {
        mLeaseUntilMs = Math.max(mLeaseUntilMs, Math.min(untilMs, clockMs() + MAX_LEASE_MS));
    }

    OrderAnswer start(RunRef run, long leaseUntilMs, long epoch, long durationMs) {
        if (isFencedOff(epoch)) {
            return OrderAnswer.FENCED;
        }
        if (run.attempt() <= mHighestRefusedAttempts.getOrDefault(run.task(), 0)) {
            extendLease(leaseUntilMs);
            return OrderAnswer.OUTDATED;
        }
        if (mRunning.containsKey(run)) {
            extendLease(leaseUntilMs);
            return OrderAnswer.ACCEPTED;
        }
        if (leaseUntilMs <= clockMs()) {
            return OrderAnswer.EXPIRED;
        }
        extendLease(leaseUntilMs);
        if (mRunning.size() >= MAX_RUNS) {
            return OrderAnswer.NO_ROOM;
        }
        RunOutcome outcome = mRandom.nextInt(20) == 0 ? RunOutcome.FAILED : RunOutcome.DONE;
        mRunning.put(run, new PlannedEnd(mNow.getAsLong() + durationMs, outcome));
        return OrderAnswer.ACCEPTED;
    }

    OrderAnswer stop(RunRef run, long epoch) {
        if (isFencedOff(epoch)) {
            return OrderAnswer.FENCED;
        }
        mHighestRefusedAttempts.merge(run.task(), run.attempt(), Math::max);
        long endsAtMs = mNow.getAsLong() + mRandom.nextInt(MAX_STOP_MS);
        mRunning.computeIfPresent(
                run,
                (ref, planned) ->
                        planned.atMs() <= endsAtMs
                                ? planned
                                : new PlannedEnd(endsAtMs, RunOutcome.STOPPED));
        return OrderAnswer.ACCEPTED;
    }

    /** Handles a poll; returns whether it was accepted. */
    boolean poll(
            long acknowledgedEnd,
            long leaseUntilMs,
            long waitMs,
            long epoch,
            Consumer<PollReply> reply) {
        if (isFencedOff(epoch)) {
            reply.accept(new PollReply(OrderAnswer.FENCED, null));
            return false;
        }
        if (leaseUntilMs > clockMs()) {
            extendLease(leaseUntilMs);
        }
        mEnds.removeIf(end -> end.sequence() <= acknowledgedEnd);
        if (mEnds.isEmpty() && waitMs > 0) {
            mWaitingPolls.add(new WaitingPoll(mNow.getAsLong() + waitMs, reply));
        } else {
            reply.accept(report());
        }
        return true;
    }

    private PollReply report() {
        List<ActiveRun> running = new ArrayList<>();
        mRunning.keySet().forEach(run -> running.add(new ActiveRun(run, "", PERCENT, 0)));
        List<EndedRun> listed =
                List.copyOf(mEnds.subList(0, Math.min(MAX_LISTED_ENDS, mEnds.size())));
        // The gateway of production cannot tell a full list from one that leaves ends out.
        boolean listsAll = listed.size() < MAX_LISTED_ENDS;
        return new PollReply(
                OrderAnswer.ACCEPTED,
                new WorkerRuns(clockMs(), mBornMs, running, listed, listsAll));
    }
}
