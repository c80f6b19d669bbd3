package org.lycheeroad.coordination.admission;

import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.ServiceLoad;
import org.lycheeroad.state.work.ServiceLoad.CommittedWork;
import org.lycheeroad.state.work.ServiceLoad.TeamLoad;
import org.lycheeroad.state.work.StepPlan;

/**
 * Refuses a job if the work ahead of it surely takes until its result would be of no use.
 *
 * <p>All that is uncertain counts for the caller, so that no job is refused that the order of steps
 * could still serve.
 */
public final class AdmissionPolicy {
    /**
     * The age up to which a summary of the load counts: two refreshes and a lost call. A backlog
     * that leads to a refusal does not vanish in this time.
     */
    public static final long MAX_LOAD_AGE_MS = 3_000;

    /** The latest end at which a job's result is still useful, as a multiple of its objective. */
    private static final int USEFUL_LATENESS_FACTOR = 3;

    /** The factor by which estimates of durations may be wrong. */
    private static final int MAX_ESTIMATE_ERROR = 2;

    /** The shortest time after which a caller is asked to return. */
    private static final long MIN_RETRY_MS = 1_000;

    /** The part of the time until a job's last useful start after which its caller returns. */
    private static final double MAX_RETRY_FRACTION = 0.5;

    /** By how much the returns of callers are spread, as a multiple of the shortest time. */
    private static final double MAX_RETRY_SPREAD = 2.5;

    private static final long MS_PER_SECOND = 1_000;

    /** Spreads similar job ids over all values. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    private static final int HASH_BITS = 24;

    private AdmissionPolicy() {}

    /** Decides about a job by what is known of the load. */
    public static Admission decide(AdmissionRequest request, KnownLoad known) {
        JobPlan plan = request.plan();
        ServiceLoad load = known.load();
        long pathMs = MAX_ESTIMATE_ERROR * criticalPathMs(plan);
        long usefulMs = USEFUL_LATENESS_FACTOR * objectiveMs(request.queue(), pathMs);
        if (isExempt(plan) || usefulMs <= pathMs) {
            return Admission.accepted(Admission.Reason.EXEMPT);
        }
        if (known.ageMs() > MAX_LOAD_AGE_MS) {
            return Admission.accepted(Admission.Reason.LOAD_UNKNOWN);
        }
        if (isWithinGuarantee(request, load)) {
            return Admission.accepted(Admission.Reason.WITHIN_GUARANTEE);
        }
        if (hasFreeRoom(plan, load)) {
            return Admission.accepted(Admission.Reason.FREE_ROOM);
        }
        if (isUnderFairShare(request, load)) {
            return Admission.accepted(Admission.Reason.UNDER_FAIR_SHARE);
        }
        long aheadMs = workAheadMs(request.queue().priority(), usefulMs, known);
        long leastAheadMs = aheadMs / MAX_ESTIMATE_ERROR;
        long latestStartMs = usefulMs - pathMs;
        if (leastAheadMs <= latestStartMs) {
            return new Admission(Admission.Reason.MAY_END_USEFULLY, leastAheadMs, latestStartMs, 0);
        }
        long roomInMs = aheadMs - MAX_ESTIMATE_ERROR * latestStartMs;
        return new Admission(
                Admission.Reason.NO_ROOM_IN_TIME,
                leastAheadMs,
                latestStartMs,
                retryAfterSeconds(request, load, roomInMs, latestStartMs));
    }

    /** Returns the work of a job that was accepted, for decisions about later ones. */
    public static CommittedWork workOf(QueueConfig queue, JobPlan plan, Resources room) {
        double cpuMs = 0;
        double memoryMs = 0;
        double acceleratorMs = 0;
        for (StepPlan step : plan.steps()) {
            Resources need = step.reservedResources();
            double taskMs = (double) step.count() * step.estimateMs();
            cpuMs += taskMs * share(need.cpuMillis(), room.cpuMillis());
            memoryMs += taskMs * share(need.memoryMb(), room.memoryMb());
            acceleratorMs += taskMs * share(need.accelerators(), room.accelerators());
        }
        return new CommittedWork(
                queue.priority(),
                USEFUL_LATENESS_FACTOR * objectiveMs(queue, criticalPathMs(plan)),
                Math.round(cpuMs),
                Math.round(memoryMs),
                Math.round(acceleratorMs));
    }

    /** Returns whether the present load says nothing about when a job's tasks can run. */
    private static boolean isExempt(JobPlan plan) {
        for (StepPlan step : plan.steps()) {
            if (step.longRunning() || step.estimateMs() <= 0) {
                return true;
            }
        }
        return plan.isTimed();
    }

    private static boolean isWithinGuarantee(AdmissionRequest request, ServiceLoad load) {
        int accelerators = 0;
        for (StepPlan step : request.plan().steps()) {
            accelerators = Math.max(accelerators, step.count() * step.need().accelerators());
        }
        for (TeamLoad team : load.teams()) {
            if (team.team().equals(request.team())) {
                accelerators += team.urgentAccelerators();
            }
        }
        return request.queue().priority() == 0 && accelerators <= request.guaranteedAccelerators();
    }

    private static boolean hasFreeRoom(JobPlan plan, ServiceLoad load) {
        for (StepPlan step : plan.steps()) {
            for (Resources free : load.freeShapes()) {
                if (step.reservedResources().fitsIn(free)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static boolean isUnderFairShare(AdmissionRequest request, ServiceLoad load) {
        for (TeamLoad team : load.teams()) {
            if (team.team().equals(request.team())) {
                return team.usedShare() * load.teams().size() < 1;
            }
        }
        return true;
    }

    /**
     * Returns the time that the work takes which has at least a job's priority and has to be done
     * until its last useful end. It is bound by the scarcest resource.
     */
    private static long workAheadMs(int priority, long usefulMs, KnownLoad known) {
        long cpuMs = 0;
        long memoryMs = 0;
        long acceleratorMs = 0;
        for (CommittedWork work : known.load().work()) {
            if (work.priority() <= priority && work.endsInMs() - known.ageMs() <= usefulMs) {
                cpuMs += work.cpuMs();
                memoryMs += work.memoryMs();
                acceleratorMs += work.acceleratorMs();
            }
        }
        long scarcestMs = Math.max(cpuMs, Math.max(memoryMs, acceleratorMs));
        long doneSinceMs = Math.min(known.ageMs(), scarcestMs);
        for (CommittedWork work : known.acceptedSince()) {
            if (work.priority() <= priority && work.endsInMs() <= usefulMs) {
                cpuMs += work.cpuMs();
                memoryMs += work.memoryMs();
                acceleratorMs += work.acceleratorMs();
            }
        }
        return Math.max(cpuMs, Math.max(memoryMs, acceleratorMs)) - doneSinceMs;
    }

    /**
     * Returns when to come again: the time until there is room, more for a lower priority and for
     * more work, spread by the job's id. The caller returns while it still waits, and well before
     * the last useful start.
     */
    private static int retryAfterSeconds(
            AdmissionRequest request, ServiceLoad load, long roomInMs, long latestStartMs) {
        CommittedWork own = workOf(request.queue(), request.plan(), load.room());
        double ownMs = Math.max(own.cpuMs(), Math.max(own.memoryMs(), own.acceleratorMs()));
        double priority = Math.max(0, request.queue().priority());
        double rank = (priority / (priority + 1) + ownMs / (ownMs + roomInMs)) / 2;
        double longestMs =
                Math.min(latestStartMs * MAX_RETRY_FRACTION, (double) request.timeoutMs());
        double shortestMs = Math.min((double) roomInMs, longestMs / MAX_RETRY_SPREAD);
        double delayMs =
                Math.max((double) MIN_RETRY_MS, shortestMs) * (1 + rank / 2 + spread(request.id()));
        double latestMs = Math.max((double) MIN_RETRY_MS, longestMs);
        return (int)
                Math.min(Math.ceil(delayMs / MS_PER_SECOND), Math.floor(latestMs / MS_PER_SECOND));
    }

    /** Returns a number from 0 to below 1 that is always the same for a job. */
    private static double spread(JobId id) {
        int hash = id.value().hashCode() * HASH_MULTIPLIER;
        return (double) (hash >>> (Integer.SIZE - HASH_BITS)) / (1 << HASH_BITS);
    }

    private static long objectiveMs(QueueConfig queue, long pathMs) {
        return Math.round(queue.slackFactor() * pathMs) + queue.targetLatencyMs();
    }

    private static long criticalPathMs(JobPlan plan) {
        long[] endMs = new long[plan.steps().size()];
        long longestMs = 0;
        for (int i = 0; i < endMs.length; i++) {
            StepPlan step = plan.steps().get(i);
            long startMs = 0;
            for (int predecessor : step.after()) {
                startMs = Math.max(startMs, endMs[predecessor]);
            }
            endMs[i] = startMs + step.estimateMs();
            longestMs = Math.max(longestMs, endMs[i]);
        }
        return longestMs;
    }

    private static double share(int need, int room) {
        return room <= 0 ? 0 : (double) need / room;
    }
}
