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
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;

/** The state that the parts of a {@link LivenessSimulation} share. */
final class LivenessWorld {
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
        POLICY_FAULTS,
        /** Calls and answers that take up to 1 s longer. */
        DELAYS,
        /** Failure domains that operators evacuate and open again. */
        EVACUATIONS
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

    /** An action at a virtual time; actions at the same time run in order of creation. */
    private record Event(long timeMs, long order, Runnable action) {}

    public final Random random;
    public final Set<Kind> kinds;
    public final Defect defect;
    public final LivenessCheck check;
    public final Map<WorkerId, LivenessWorker> workers = new LinkedHashMap<>();

    /** The workers that are in the directory. */
    public final Map<WorkerId, LivenessWorker> entries = new LinkedHashMap<>();

    /** When draining workers leave. */
    public final Map<WorkerId, Long> departuresMs = new HashMap<>();

    public final Map<JobId, JobRecord> jobs = new LinkedHashMap<>();
    public final Set<JobId> cancelled = new HashSet<>();

    /** Jobs whose tasks always fail. */
    public final Set<JobId> hopeless = new HashSet<>();

    public final Map<JobId, ProgressRecord> saved = new HashMap<>();
    public final Set<FailureDomainId> evacuations = new HashSet<>();
    public ClusterConfig config;
    public long nowMs = 100_000;
    public boolean faultPhase;

    /** How long something is disturbed that belongs to no worker. */
    public long disturbedUntilMs;

    private final long mSeed;
    private final boolean mTraced;
    private final List<String> mTrace = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeMs).thenComparingLong(Event::order));
    private long mNextEventOrder;

    LivenessWorld(long seed, Set<Kind> kinds, Defect defect, boolean traced) {
        mSeed = seed;
        random = new Random(seed);
        this.kinds = kinds.isEmpty() ? EnumSet.noneOf(Kind.class) : EnumSet.copyOf(kinds);
        this.defect = defect;
        mTraced = traced;
        check = new LivenessCheck(workers.values(), this::isAllowed);
    }

    /** Advances the time and runs what is due. */
    void advance(long durationMs) {
        nowMs += durationMs;
        while (!mEvents.isEmpty() && mEvents.peek().timeMs <= nowMs) {
            mEvents.poll().action.run();
        }
    }

    /** Returns whether the policy of a task's queue, if it has one, allows a worker. */
    boolean isAllowed(TaskRef task, WorkerId worker) {
        if (!jobs.get(task.job()).queue().equals(JobSchedulerFixture.ADVISED)) {
            return true;
        }
        int hash = Objects.hash(mSeed, task.job(), task.occurrence(), task.step(), worker);
        return Math.floorMod(hash * 0x9E3779B9, 100) < 60;
    }

    /** Returns the step of a task. */
    StepPlan stepOf(TaskRef task) {
        return jobs.get(task.job()).plan().steps().get(task.step());
    }

    void trace(String event) {
        if (mTraced) {
            mTrace.add(nowMs + " " + event);
        }
    }

    void schedule(long delayMs, Runnable action) {
        mEvents.add(new Event(nowMs + delayMs, mNextEventOrder++, action));
    }

    boolean strikes(Kind kind, int oneIn) {
        return faultPhase && kinds.contains(kind) && random.nextInt(oneIn) == 0;
    }

    long drawLatencyMs() {
        return 5L + random.nextInt(30) + (strikes(Kind.DELAYS, 15) ? random.nextInt(1_000) : 0);
    }

    /** Returns what happened, if the simulation is traced. */
    List<String> trace() {
        return mTrace;
    }
}
