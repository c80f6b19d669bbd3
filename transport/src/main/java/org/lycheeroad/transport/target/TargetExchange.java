package org.lycheeroad.transport.target;

/** One exchange with a target; its methods are called on the event loop. */
public interface TargetExchange {
    /** Sends the parts that the request body has by now. */
    void resumeSending();

    /** Reads the next part of the answer. */
    void readNextPart();

    /** Gives up and closes the connection; the listener is told {@code BROKEN} or NOT_SENT. */
    void abort();
}
