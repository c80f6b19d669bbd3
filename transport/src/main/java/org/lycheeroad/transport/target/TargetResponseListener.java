package org.lycheeroad.transport.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response of a target on the event loop. */
public interface TargetResponseListener {
    /** Called with the head of the response, unless the target refused the request. */
    void onResponseHead(HttpResponse head);

    /**
     * Called with a part of the body; the listener takes ownership of it.
     *
     * @return whether the next part may be read now; if not, reading stops until {@link
     *     TargetExchange#readNextPart} is called
     */
    boolean onBodyPart(ByteBuf part);

    /**
     * Called when bytes of this exchange were written to or read from the socket, including heads
     * and framing.
     */
    void onBytesTransferred(int sentBytes, int receivedBytes);

    /** Called exactly once, as the last call, when the exchange has ended. */
    void onEnd(AttemptEnd end, String reason);
}
