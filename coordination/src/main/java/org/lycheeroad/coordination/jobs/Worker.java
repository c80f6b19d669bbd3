package org.lycheeroad.coordination.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkerStatus;

/** The scheduler's view of a worker. */
final class Worker {
    /** How long a success shows that a worker can run tasks; disturbances last some seconds. */
    private static final long RECENT_SUCCESS_MS = 10_000;

    /**
     * A reported end of a run that must not be acknowledged before the store holds it.
     *
     * @param number the end's number in the worker's incarnation
     * @param jobVersion the first version of the job's progress that includes the end
     */
    record UnsavedEnd(long number, JobId job, long jobVersion) {}

    /** Resources reserved for tasks of a step until the runs that hold them have ended. */
    static final class Reservation {
        public final StepInstance step;
        public final long expiresAtMs;

        /** Whether runs were stopped to free the resources, rather than left to end. */
        public final boolean byPreemption;

        public int taskCount;

        Reservation(StepInstance step, int taskCount, boolean byPreemption, long expiresAtMs) {
            this.step = step;
            this.taskCount = taskCount;
            this.byPreemption = byPreemption;
            this.expiresAtMs = expiresAtMs;
        }

        Resources resources() {
            return step.plan.reservedResources().times(taskCount);
        }
    }

    public final WorkerId id;
    public final Map<RunRef, Run> runs = new LinkedHashMap<>();

    /** Reported runs of which the scheduler has no record. */
    public final Set<RunRef> unrecordedRuns = new HashSet<>();

    public final List<Reservation> reservations = new ArrayList<>();
    public final Deque<UnsavedEnd> unsavedEnds = new ArrayDeque<>();

    /** The steps of which a run failed or stalled here since the last successful run. */
    public final Set<StepInstance> failedSteps = new HashSet<>();

    /**
     * The newest entry in the directory; null for a worker that is known only from saved progress.
     * A worker for which {@link #isSchedulable} holds has an entry.
     */
    public WorkerStatus entry;

    /**
     * The start time of the worker's process, which tells its incarnations apart; {@code bornMs} in
     * the worker's reports.
     */
    public long incarnation;

    /**
     * When {@link #incarnation} became known. A reply to a later request is of that incarnation or
     * a newer one, even one with an earlier start time: the worker's time of day may be set back.
     */
    public long incarnationKnownAtMs;

    /** Whether the worker is in the directory. */
    public boolean registered;

    /** Whether the operators want no more runs to start in the worker's failure domain. */
    public boolean evacuated;

    /** Whether this incarnation has sent this owner a run report. */
    public boolean hasAnswered;

    /** Whether the worker did not answer the last poll. */
    public boolean unresponsive;

    /** The earliest time at which a draining worker leaves; MAX_VALUE if it does not drain. */
    public long leavesAtMs = Long.MAX_VALUE;

    /** The number of the newest end that has been applied. */
    public long newestEndNumber;

    /** The number up to which the worker may forget its ends. */
    public long acknowledgedEnd;

    /**
     * When a call that may extend the worker's lease or acknowledge ends was last sent and not
     * answered.
     */
    public long lastUnansweredCallAtMs = Long.MIN_VALUE / 2;

    /**
     * The time until which calls to an earlier incarnation may arrive and extend leases or make the
     * worker forget ends; not after the current time if there are none.
     */
    public long earlierCallsUntilMs = Long.MIN_VALUE / 2;

    /** Ended runs with an unanswered start, by when their starts were last sent. */
    public final Map<RunRef, Long> endedUnansweredStarts = new HashMap<>();

    /** No runs are assigned before this time, because of failures. */
    public long quarantinedUntilMs;

    /** No runs are assigned before this time, because of refused starts or slow progress. */
    public long noRunsUntilMs;

    public final WorkerSpeed speed = new WorkerSpeed();

    /** When a run last succeeded here; 0 if none has. */
    public long lastSuccessAtMs;

    /** When a run last failed here; 0 if none has. */
    public long lastFailureAtMs;

    /** Whether the progress of its runs shows that the worker is much slower than usual. */
    public boolean slow;

    /** The length of the last quarantine; 0 after a success. */
    public long quarantineMs;

    /** When the last quarantine began. */
    public long quarantinedSinceMs;

    /**
     * Whether no run since a repeated or shortened quarantine has shown that the worker can run
     * tasks. The worker then runs one step at a time.
     */
    public boolean onProbation;

    /** How many starts the worker has refused since it last accepted one, up to a bound. */
    public int consecutiveRefusals;

    /** When a refused start last began or lengthened the backoff. */
    public long lastRefusalAtMs;

    /** When the worker's directory entry was last received. */
    public long lastHeartbeatAtMs;

    /** The speed of the worker's best-effort runs, in percent of full speed. */
    public int bestEffortSpeedPercent = BestEffortThrottle.INITIAL_PERCENT;

    private Resources mUsedResources = Resources.NONE;

    Worker(WorkerId id) {
        this.id = id;
    }

    void add(Run run) {
        runs.put(run.ref, run);
        mUsedResources = mUsedResources.plus(run.resources);
    }

    void remove(Run run) {
        if (runs.remove(run.ref, run)) {
            mUsedResources = mUsedResources.minus(run.resources);
        }
    }

    Resources usedResources() {
        return mUsedResources;
    }

    Resources freeResources() {
        return entry.capacity().minus(mUsedResources);
    }

    /** Returns the free resources less those reserved for other steps. */
    Resources resourcesFreeFor(StepInstance step) {
        Resources free = freeResources();
        for (Reservation reservation : reservations) {
            boolean binding = reservation.byPreemption || !step.idleWaitIsOver;
            if (reservation.step != step && binding) {
                free = free.minus(reservation.resources());
            }
        }
        return free;
    }

    /** Returns whether new runs may be assigned to this worker. */
    boolean isSchedulable(long nowMs) {
        return canStartRuns(nowMs)
                && !(onProbation && runs.values().stream().anyMatch(this::isProbe));
    }

    /** Returns whether runs that are assigned to this worker may start. */
    boolean canStartRuns(long nowMs) {
        return isUsable(nowMs) && nowMs >= quarantinedUntilMs;
    }

    /** Returns whether nothing but a quarantine keeps new runs off this worker. */
    boolean isOnlyQuarantined(long nowMs) {
        return isUsable(nowMs) && nowMs < quarantinedUntilMs;
    }

    private boolean isUsable(long nowMs) {
        return isInService()
                && hasAnswered
                && !unresponsive
                && unrecordedRuns.isEmpty()
                && nowMs >= earlierCallsUntilMs
                && nowMs >= noRunsUntilMs;
    }

    /** Returns whether a run was started after the last quarantine, or is about to be. */
    boolean isProbe(Run run) {
        return switch (run.phase) {
            case RECORDING -> true;
            case STARTING, RUNNING -> run.firstStartSentAtMs > quarantinedSinceMs;
            case UNCONFIRMED, STOPPING -> false;
        };
    }

    /** Returns whether the worker is in the directory and there to stay. */
    boolean isInService() {
        return registered && !entry.draining() && !evacuated;
    }

    /** Returns whether the newest ended run was a recent success. */
    boolean hasRecentSuccess(long nowMs) {
        return lastSuccessAtMs > lastFailureAtMs && nowMs - lastSuccessAtMs < RECENT_SUCCESS_MS;
    }

    int runCountOf(StepInstance step) {
        int count = 0;
        for (Run run : runs.values()) {
            if (run.task.step == step) {
                count++;
            }
        }
        return count;
    }

    boolean hasServingRuns() {
        return runs.values().stream().anyMatch(r -> r.task.step.plan.servesUsers());
    }

    boolean hasBestEffortRuns() {
        return bestEffortRunCount() > 0;
    }

    int bestEffortRunCount() {
        return (int) runs.values().stream().filter(r -> r.task.step.plan.fills()).count();
    }
}
