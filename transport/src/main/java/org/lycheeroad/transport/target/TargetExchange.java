package org.lycheeroad.transport.target;

/** A request to a target and its response; the methods must be called on the event loop. */
public interface TargetExchange {
    /** Sends the parts of the request body that are available. */
    void resumeSending();

    /** Reads the next part of the response. */
    void readNextPart();

    /**
     * Aborts the exchange and closes its connection; the listener gets {@code BROKEN}, or {@code
     * NOT_SENT} if no connection was used yet.
     */
    void abort();
}
