package org.lycheeroad.coordination.jobs;

/** Why a run is stopped. */
public enum StopReason {
    /** Its room is needed for a more urgent job. */
    RECLAIMED,
    /** It makes no progress. */
    STALLED,
    /** Its start was not answered. */
    NO_ANSWER,
    /** Its start was refused, and an earlier copy of the start may still arrive. */
    REFUSED,
    /** Another member of its gang does not run. */
    GANG_BROKEN,
    /** Its job was cancelled or has failed. */
    JOB_ENDED,
    /** Its worker is about to leave, and it resumes elsewhere. */
    WORKER_LEAVES,
    /** The store holds no record of it. */
    NOT_RECORDED
}
