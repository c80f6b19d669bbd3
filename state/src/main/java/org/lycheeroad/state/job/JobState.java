package org.lycheeroad.state.job;

/** The state of a gang job. */
public enum JobState {
    QUEUED,
    STARTING,
    RUNNING,
    RECLAIMING,
    DONE,
    FAILED,
    CANCELLED,
    NOT_RUN,
    UNKNOWN;

    /** Returns whether the job can no longer change its state. */
    public boolean isFinal() {
        return switch (this) {
            case QUEUED, STARTING, RUNNING, RECLAIMING -> false;
            case DONE, FAILED, CANCELLED, NOT_RUN, UNKNOWN -> true;
        };
    }
}
