package org.lycheeroad.scheduler.intake;

/** The outcome of writing an accepted job or a cancellation to the store. */
public enum StoreOutcome {
    /** The write is stored. */
    STORED,
    /** The job to cancel does not exist. */
    NO_JOB,
    /** The write has not been stored and will not be. */
    REFUSED,
    /** The write may have been stored, or may be later. */
    UNKNOWN
}
