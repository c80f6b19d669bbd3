package org.lycheeroad.transport.store;

import org.lycheeroad.protocol.store.WatchResponse;

/** Receives the answers of a watch on the client's event loop; it must not block. */
public interface WatchListener {
    /** Called for each answer in the order of the revisions. */
    void onAnswer(WatchResponse answer);

    /** Called once when the watch ends for any reason. */
    void onEnd(Throwable cause);
}
