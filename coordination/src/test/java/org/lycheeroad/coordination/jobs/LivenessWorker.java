package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;
import org.lycheeroad.state.work.WorkerStatus;

/** The actual state of a worker in virtual time, which guards its capacity. */
final class LivenessWorker {
    static final long LEASE_MS = 6_000;

    /** Few, so that reports leave some ended runs out; the platform lists 500. */
    private static final int MAX_LISTED_ENDS = 3;

    /** A run, when and how it will end, and whether it is being stopped. */
    static final class ActualRun {
        public final StepPlan plan;
        public final long startedAtMs;
        public long endsAtMs;
        public RunOutcome outcome;

        ActualRun(StepPlan plan, long startedAtMs, long endsAtMs, RunOutcome outcome) {
            this.plan = plan;
            this.startedAtMs = startedAtMs;
            this.endsAtMs = endsAtMs;
            this.outcome = outcome;
        }
    }

    public final WorkerStatus identity;
    public final Map<RunRef, ActualRun> runs = new LinkedHashMap<>();
    public boolean up = true;
    public boolean draining;
    public long incarnation;
    public long unreachableUntilMs;
    public long unhealthyUntilMs;
    public long failingUntilMs;
    private final Map<TaskRef, Integer> mRefusedAttempts = new HashMap<>();
    private final List<EndedRun> mEnds = new ArrayList<>();
    private long mLastEndNumber;
    private long mEpoch;
    private long mLeaseUntilMs;

    LivenessWorker(WorkerStatus identity) {
        this.identity = identity;
        incarnation = identity.incarnationStartMs();
    }

    /** Returns whether some fault keeps the worker from its work. */
    boolean isDisturbed(long nowMs) {
        return !up
                || nowMs < unreachableUntilMs
                || nowMs < unhealthyUntilMs
                || nowMs < failingUntilMs;
    }

    /** Returns whether runs may start. */
    boolean isSound(long nowMs) {
        return !isDisturbed(nowMs) && !draining;
    }

    Resources used() {
        Resources used = Resources.NONE;
        for (ActualRun run : runs.values()) {
            used = used.plus(run.plan.reservedResources());
        }
        return used;
    }

    Resources free() {
        return identity.capacity().minus(used());
    }

    int runCountOf(TaskRef task) {
        int count = 0;
        for (RunRef run : runs.keySet()) {
            TaskRef other = run.task();
            count +=
                    other.job().equals(task.job())
                                    && other.occurrence() == task.occurrence()
                                    && other.step() == task.step()
                            ? 1
                            : 0;
        }
        return count;
    }

    WorkerStatus entry(long remainingMs) {
        return new WorkerStatus(
                identity.id(),
                incarnation,
                new HostPort("127.0.0.1", 1),
                identity.service(),
                draining,
                remainingMs,
                identity.capacity(),
                identity.labels(),
                identity.rack(),
                "",
                identity.failureDomain());
    }

    void crash() {
        up = false;
        runs.clear();
        mRefusedAttempts.clear();
        mEnds.clear();
        mLastEndNumber = 0;
        mEpoch = 0;
        mLeaseUntilMs = 0;
    }

    boolean isFencedOff(long epoch) {
        boolean fenced = epoch < mEpoch;
        mEpoch = Math.max(mEpoch, epoch);
        return fenced;
    }

    boolean isLapsed(long nowMs) {
        return nowMs > mLeaseUntilMs;
    }

    /** Returns why a start has no effect, or ACCEPTED. */
    OrderAnswer admit(RunRef run, StepPlan plan, long leaseUntilMs, long nowMs) {
        if (runs.containsKey(run)) {
            extendLease(leaseUntilMs, nowMs);
            return OrderAnswer.ACCEPTED;
        }
        if (run.attempt() <= mRefusedAttempts.getOrDefault(run.task(), 0)) {
            return OrderAnswer.OUTDATED;
        }
        if (leaseUntilMs <= nowMs) {
            return OrderAnswer.EXPIRED;
        }
        extendLease(leaseUntilMs, nowMs);
        return plan.reservedResources().fitsIn(free()) ? OrderAnswer.ACCEPTED : OrderAnswer.NO_ROOM;
    }

    void stop(RunRef run, long endsAtMs) {
        mRefusedAttempts.merge(run.task(), run.attempt(), Math::max);
        ActualRun actual = runs.get(run);
        if (actual != null && actual.endsAtMs > endsAtMs) {
            actual.endsAtMs = endsAtMs;
            actual.outcome = RunOutcome.STOPPED;
        }
    }

    void end(RunRef run, RunOutcome outcome) {
        runs.remove(run);
        mRefusedAttempts.merge(run.task(), run.attempt(), Math::max);
        mEnds.add(new EndedRun(++mLastEndNumber, run, outcome, ""));
    }

    WorkerRuns poll(long acknowledgedEnd, long leaseUntilMs, long nowMs) {
        extendLease(leaseUntilMs, nowMs);
        mEnds.removeIf(end -> end.sequence() <= acknowledgedEnd);
        List<ActiveRun> active = new ArrayList<>();
        runs.forEach(
                (ref, run) ->
                        active.add(new ActiveRun(ref, "", run.plan.longRunning() ? 100 : 95, 0)));
        List<EndedRun> listed =
                List.copyOf(mEnds.subList(0, Math.min(MAX_LISTED_ENDS, mEnds.size())));
        return new WorkerRuns(nowMs, incarnation, active, listed, listed.size() < MAX_LISTED_ENDS);
    }

    private void extendLease(long untilMs, long nowMs) {
        mLeaseUntilMs = Math.max(mLeaseUntilMs, Math.min(untilMs, nowMs + LEASE_MS));
    }
}
