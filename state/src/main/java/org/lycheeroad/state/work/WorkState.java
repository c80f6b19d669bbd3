package org.lycheeroad.state.work;

/** The state of a job as callers see it. */
public enum WorkState {
    QUEUED,
    ACTIVE,
    COMPLETED,
    FAILED,
    CANCELLED;

    /** Returns whether the job has ended, so that no more tasks of it run. */
    public boolean isEnded() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
