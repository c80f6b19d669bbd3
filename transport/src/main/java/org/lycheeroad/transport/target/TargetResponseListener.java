package org.lycheeroad.transport.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer of a target on the event loop. */
public interface TargetResponseListener {
    /** The head of an answer to this attempt arrived; it is not a refusal. */
    void onResponseHead(HttpResponse head);

    /**
     * A part of the body arrived; the listener takes over the reference.
     *
     * @return whether the next part may be read now; if not, {@link TargetExchange#readNextPart}
     *     continues
     */
    boolean onBodyPart(ByteBuf part);

    /**
     * Bytes of this exchange were handed to or came from the socket, heads and framing included.
     */
    void onBytesTransferred(int sent, int received);

    /** The exchange ended; called exactly once, and last. */
    void onEnd(AttemptEnd end, String reason);
}
