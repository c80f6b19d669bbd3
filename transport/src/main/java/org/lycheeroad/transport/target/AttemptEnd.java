package org.lycheeroad.transport.target;

/** How an exchange with a target ended. */
public enum AttemptEnd {
    /** The complete response arrived and carries the id of this attempt. */
    WHOLE,
    /** The target refused the request before running any of it. */
    REFUSED,
    /** The target refused the request because it is draining. */
    DRAINING,
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The exchange failed after it had started; the target may have run the request. */
    BROKEN
}
