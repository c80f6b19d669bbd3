package org.lycheeroad.coordination.routing;

/** The outcome of a request, as reported to its caller. */
public enum RequestOutcome {
    /** The request was executed, and the complete answer follows. */
    DONE,
    /** The request was executed and failed; the complete answer follows. */
    FAILED,
    /** The request was not executed. */
    NOT_RUN,
    /** It is unknown whether the request was executed. */
    UNKNOWN
}
