package org.lycheeroad.coordination.jobs;

import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkerRuns;

/** One run of a task. It holds resources on its worker until it is known to have ended. */
final class Run {
    /** The lifecycle phase of a run. */
    enum Phase {
        /** The run's record is not yet saved to the store, so the start must not be sent. */
        RECORDING,
        /** The start order was sent and is not yet confirmed. */
        STARTING,
        /** The worker confirmed the start or reported the run. */
        RUNNING,
        /** Restored from an earlier owner's record; its worker has not reported yet. */
        UNCONFIRMED,
        /** The stop order was sent. */
        STOPPING
    }

    static final int UNKNOWN_SPEED_PERCENT = -1;

    public final RunRef ref;
    public final Task task;
    public final Worker worker;
    public final Resources resources;

    /**
     * The incarnation of the worker that the run was assigned to; see {@link Worker#incarnation}.
     */
    public long workerIncarnation;

    public Phase phase;
    public String ticket = "";

    /** The first version of the job's progress record that contains this run. */
    public long recordVersion;

    /** When the start order was first sent. */
    public long firstStartSentAtMs;

    /** When the start order was last issued or sent. */
    public long lastStartSentAtMs;

    /** When the run was restored from an earlier owner's record; 0 if it was not. */
    public long restoredAtMs;

    /** Whether some start order got no answer and may therefore still be carried out. */
    public boolean hasUnansweredStart;

    /** When the start was confirmed by an answer or a report; MAX_VALUE before that. */
    public long startedAtMs = Long.MAX_VALUE;

    /**
     * When the worker confirmed the last start or stop order; MAX_VALUE before that. Reports
     * requested at or after this time show the order's effect.
     */
    public long confirmedAtMs = Long.MAX_VALUE;

    public final RunProgress progress = new RunProgress();

    /** Whether the run's duration has been added to those of its step. */
    public boolean durationObserved;

    /** Whether the start order carried a checkpoint, so that the run begins with work done. */
    public boolean resumed;

    /** When the scheduler first saw the run running; 0 before that. */
    public long runningSinceMs;

    /** Whether the run is on another rack than its data, or its rack-local step spans racks. */
    public boolean remote;

    /** The last reported usage; see {@link WorkerRuns.ActiveRun#usage}. */
    public long reportedUsage;

    /**
     * The speed that the worker has confirmed, in percent of full speed, or {@link
     * #UNKNOWN_SPEED_PERCENT} if an earlier owner may have ordered another one.
     */
    public int confirmedSpeedPercent = 100;

    /** The speed that was ordered last, in percent of full speed. */
    public int orderedSpeedPercent = 100;

    /** When the last speed order was sent; 0 if none was. */
    public long speedOrderSentAtMs;

    public StopReason stopReason;

    /** When the stop order was last sent. */
    public long lastStopSentAtMs;

    Run(RunRef ref, Task task, Worker worker, Phase phase) {
        this.ref = ref;
        this.task = task;
        this.worker = worker;
        this.workerIncarnation = worker.incarnation;
        this.resources = task.step.plan.reservedResources();
        this.phase = phase;
    }

    /** Returns whether this is the task's current run. */
    boolean isCurrent() {
        return task.run == this;
    }
}
