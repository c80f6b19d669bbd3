package org.lycheeroad.scheduler.intake;

/** What became of a write for a caller. */
public enum StoreOutcome {
    /** It is stored. */
    STORED,
    /** There is no such job. */
    NO_JOB,
    /** Nothing was stored, nor will be. */
    REFUSED,
    /** It may be stored, now or later. */
    UNKNOWN
}
