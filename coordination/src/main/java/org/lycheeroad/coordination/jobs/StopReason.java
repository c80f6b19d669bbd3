package org.lycheeroad.coordination.jobs;

/** Why a run is stopped. */
public enum StopReason {
    /** Its resources are needed for a job of higher priority. */
    RECLAIMED,
    /** It has made no progress for too long. */
    STALLED,
    /** Its worker is much slower than others, and its job ends sooner elsewhere. */
    WORKER_SLOW,
    /** Its start was not answered. */
    NO_ANSWER,
    /** Its start was refused, but an earlier start order was not answered and may still arrive. */
    REFUSED,
    /** Another run of its gang was refused, stopped or lost. */
    GANG_BROKEN,
    /** Its job has ended. */
    JOB_ENDED,
    /** An earlier run of its task was reported as done after it had been taken as lost. */
    TASK_DONE,
    /** Its worker is draining; the task is to run elsewhere. */
    WORKER_LEAVES,
    /** The scheduler has no record of it. */
    NOT_RECORDED
}
