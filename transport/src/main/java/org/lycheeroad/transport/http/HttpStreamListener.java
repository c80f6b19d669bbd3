package org.lycheeroad.transport.http;

import io.netty.buffer.ByteBuf;

/** Receives one streamed request on the event loop of its connection. */
public interface HttpStreamListener {
    /**
     * A part of the body arrived after {@link HttpStream#readNextPart}; takes over the reference.
     */
    void onBodyPart(ByteBuf part);

    /** The whole body has arrived. */
    void onBodyEnd();

    /** More of the answer can be written after {@link HttpStream#writeChunk} returned false. */
    void onWritable();

    /** The caller's connection closed before the answer was complete. */
    void onConnectionClosed();
}
