package org.lycheeroad.coordination.routing;

/** What a caller is told about its request. */
public enum RequestOutcome {
    /** The work ran and the whole answer follows. */
    DONE,
    /** The work ran and failed; the whole answer follows. */
    FAILED,
    /** The work did not run. */
    NOT_RUN,
    /** It is not known whether the work ran. */
    UNKNOWN
}
