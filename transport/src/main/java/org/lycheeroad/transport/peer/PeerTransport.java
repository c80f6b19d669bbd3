package org.lycheeroad.transport.peer;

import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.state.topology.HostPort;

/** Exchanges frames with the other entries. */
public interface PeerTransport {
    /**
     * Starts listening for connections of peers.
     *
     * @throws IOException if the address cannot be bound
     */
    void start(PeerHandler handler) throws IOException;

    /** Stops listening and closes all connections. */
    void stop();

    /** Returns the address on which peers reach this entry. */
    HostPort address();

    /** Sets the peers: opens missing connections and closes those to other addresses. */
    void setPeers(Collection<HostPort> peers);

    /**
     * Sends a one-way frame; returns false if there is no connection or its write buffer is full.
     */
    boolean send(HostPort peer, PeerFrame.Builder frame);

    /** Sends a request; on failure, the future completes with a {@link PeerException}. */
    CompletableFuture<PeerFrame> request(HostPort peer, PeerFrame.Builder frame, long timeoutMs);
}
