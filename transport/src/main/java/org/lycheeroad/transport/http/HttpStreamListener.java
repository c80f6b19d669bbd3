package org.lycheeroad.transport.http;

import io.netty.buffer.ByteBuf;

/** Receives the events of one {@link HttpStream} on the event loop of its connection. */
public interface HttpStreamListener {
    /** Called with the next part of the body; the listener takes ownership of it. */
    void onBodyPart(ByteBuf part);

    /** Called after the last part of the body. */
    void onBodyEnd();

    /**
     * Called when chunks can be written again after {@link HttpStream#writeChunk} returned false.
     */
    void onWritable();

    /** Called when the client's connection closes before the response is complete. */
    void onConnectionClosed();
}
