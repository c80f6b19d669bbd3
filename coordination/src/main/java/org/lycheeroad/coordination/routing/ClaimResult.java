package org.lycheeroad.coordination.routing;

/** The result of claiming a non-repeatable request in the store. */
public enum ClaimResult {
    /** The request holds the claim and may be sent. */
    GRANTED,
    /** The claim is or was held by someone else, who may have sent the request. */
    ALREADY_CLAIMED,
    /** The store did not answer; nothing was sent to a target. */
    UNAVAILABLE
}
