package org.lycheeroad.transport.target;

import io.netty.buffer.ByteBuf;

/** The body of a request, pulled part by part on the event loop. */
public interface RequestBody {
    /** Returns the length in bytes, or -1 if it is not known and the body is sent in chunks. */
    long lengthBytes();

    /**
     * Returns the next part, which the caller releases, or null if there is none yet.
     *
     * <p>After null, {@link TargetExchange#resumeSending} is called when there is more.
     */
    ByteBuf nextPart();

    /** Returns whether every part has been returned by {@link #nextPart}. */
    boolean isFinished();
}
