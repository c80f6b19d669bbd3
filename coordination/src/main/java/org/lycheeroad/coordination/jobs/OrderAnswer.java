package org.lycheeroad.coordination.jobs;

/** How a worker answered an order. */
public enum OrderAnswer {
    ACCEPTED,
    /** The worker has seen a newer owner. */
    FENCED,
    /** The run is not newer than one that was stopped or ended there. */
    OUTDATED,
    /** The order's lease had ended on arrival. */
    EXPIRED,
    /** The worker has no room. */
    NO_ROOM,
    /** The ticket is missing or not valid. */
    BAD_TICKET,
    /** The worker is unhealthy and has done nothing. */
    UNHEALTHY,
    /** The worker is another incarnation than the intended one and has done nothing. */
    REPLACED,
    /** The worker cannot read the order and has done nothing. */
    MALFORMED,
    /** Whether the order was or will be carried out is not known. */
    UNKNOWN
}
