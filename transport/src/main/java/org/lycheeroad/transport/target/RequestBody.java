package org.lycheeroad.transport.target;

import io.netty.buffer.ByteBuf;

/** The body of a request, from which the client pulls parts on the event loop. */
public interface RequestBody {
    /**
     * Returns the length in bytes, or -1 if it is unknown, in which case the body is sent chunked.
     */
    long lengthBytes();

    /**
     * Returns the next part, which the caller has to release, or null if none is available yet.
     *
     * <p>After returning null, the owner of the body calls {@link TargetExchange#resumeSending}
     * when a part is available.
     */
    ByteBuf nextPart();

    /** Returns whether every part has been returned by {@link #nextPart}. */
    boolean isFinished();
}
