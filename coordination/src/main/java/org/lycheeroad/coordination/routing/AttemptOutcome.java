package org.lycheeroad.coordination.routing;

/** The outcome of an attempt to send a request to a target. */
public enum AttemptOutcome {
    /** A complete, successful answer arrived. */
    WHOLE,
    /** A complete answer with an error status arrived. */
    FAILED_WHOLE,
    /** The target refused the request without executing it. */
    REFUSED_NOT_RUN,
    /** The target refused the request without executing it, because it is shutting down. */
    REFUSED_DRAINING,
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The connection failed after bytes were sent; the request may have been executed. */
    BROKEN
}
