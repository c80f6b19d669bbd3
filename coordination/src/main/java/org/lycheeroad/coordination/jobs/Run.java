package org.lycheeroad.coordination.jobs;

import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkerRuns;

/** One run of a task on a worker; it takes room there until the worker says that it is over. */
final class Run {
    /** How far a run has got. */
    enum Phase {
        /** Waits until the store holds its record. */
        RECORDING,
        /** Its start was sent. */
        STARTING,
        /** It is or may be at work. */
        RUNNING,
        /** Recorded by an earlier owner and not yet looked for. */
        UNCONFIRMED,
        /** Its stop was sent. */
        STOPPING
    }

    public final RunRef ref;
    public final Task task;
    public final Worker worker;
    public final Resources room;

    /** The incarnation of the worker. */
    public long bornMs;

    public Phase phase;
    public String ticket = "";

    /** The version of the job's record that first holds this run. */
    public long recordVersion;

    /** When the start was first sent. */
    public long sentAt;

    /** When the start was last sent. */
    public long lastSentAt;

    /** Whether a copy of the start may have arrived without an answer. */
    public boolean startUnsure;

    /** When it became certain that the worker had begun the run. */
    public long begunAt = Long.MAX_VALUE;

    /** When the worker confirmed the start or the stop; reports asked for later show the effect. */
    public long confirmedAt = Long.MAX_VALUE;

    public int percent;

    /** When the percentage last rose. */
    public long progressAt;

    public long workingSince;

    /** Whether it runs away from its data or its step runs across racks. */
    public boolean remote;

    /** What the worker reported last; see {@link WorkerRuns.Running#usage}. */
    public long usage;

    /** The share of its speed, in percent, at which the worker has confirmed that it works. */
    public int throttle = 100;

    /** The share that was ordered last. */
    public int throttleSent = 100;

    /** When the last order about the speed was sent; 0 for never. */
    public long throttleSentAt;

    public StopReason stopReason;

    /** When the last stop was sent. */
    public long stopSentAt;

    Run(RunRef ref, Task task, Worker worker, Phase phase) {
        this.ref = ref;
        this.task = task;
        this.worker = worker;
        this.bornMs = worker.bornMs;
        this.room = task.step.plan.reservedResources();
        this.phase = phase;
    }

    /** Returns whether the run is the newest of its task. */
    boolean isCurrent() {
        return task.run == this;
    }
}
