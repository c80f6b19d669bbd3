package org.lycheeroad.transport.peer;

import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.state.topology.HostPort;

/** Sends frames to other entries and receives theirs. */
public interface PeerTransport {
    /**
     * Starts to listen.
     *
     * @throws IOException if the address cannot be bound
     */
    void start(PeerHandler handler) throws IOException;

    /** Closes all connections. */
    void stop();

    /** Returns the address on which peers reach this entry. */
    HostPort address();

    /** Keeps connections to exactly these addresses. */
    void setPeers(Collection<HostPort> peers);

    /** Sends a one-way frame; returns false if there is no connection or it is congested. */
    boolean send(HostPort to, PeerFrame.Builder frame);

    /** Sends a request; failures complete the future with {@link PeerException}. */
    CompletableFuture<PeerFrame> request(HostPort to, PeerFrame.Builder frame, long timeoutMillis);
}
