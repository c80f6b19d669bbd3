package org.lycheeroad.standins;

import java.io.IOException;
import org.lycheeroad.state.topology.HostPort;

/** A stand-in server for a part of the platform. */
public interface StandIn {
    /**
     * Starts serving.
     *
     * @throws IOException if an address cannot be bound
     */
    void start() throws IOException;

    /** Stops serving and closes the connections. */
    void stop();

    /** Returns the address that serves the protocol and the endpoints for fault injection. */
    HostPort address();
}
