package org.lycheeroad.transport.peer;

import java.util.function.Consumer;
import org.lycheeroad.protocol.peer.PeerFrame;

/** Handles the frames sent by peers; called on the event loop, so it must not block. */
public interface PeerHandler {
    /**
     * Called for each frame that is not a reply.
     *
     * @param reply sends the reply to a request; does nothing if the frame is not a request or the
     *     connection is closed
     */
    void onFrame(PeerFrame frame, Consumer<PeerFrame.Builder> reply);
}
