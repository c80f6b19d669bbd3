package org.lycheeroad.coordination.jobs;

/** A worker's answer to an order. */
public enum OrderAnswer {
    ACCEPTED,
    /** The worker has received an order of a newer owner. */
    FENCED,
    /** The attempt is not newer than one that was stopped or has ended on the worker. */
    OUTDATED,
    /** The order's lease had expired when the order arrived. */
    EXPIRED,
    /** The worker does not have the free resources. */
    NO_ROOM,
    /** The placement policy's ticket is missing or not valid. */
    BAD_TICKET,
    /** The worker is unhealthy and did not carry out the order. */
    UNHEALTHY,
    /** The order was for another incarnation of the worker and was not carried out. */
    REPLACED,
    /** The worker could not parse the order and did not carry it out. */
    MALFORMED,
    /** No answer was received; the order may have been or may still be carried out. */
    UNKNOWN
}
