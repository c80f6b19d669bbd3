package org.lycheeroad.transport.store;

import org.lycheeroad.protocol.store.WatchResponse;

/** Receives the responses of a watch; called on the client's event loop, so it must not block. */
public interface WatchListener {
    /** Called for each response, in revision order. */
    void onResponse(WatchResponse response);

    /** Called once when the watch ends for any reason. */
    void onEnd(Throwable cause);
}
