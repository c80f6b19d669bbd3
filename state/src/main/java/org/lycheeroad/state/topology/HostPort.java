package org.lycheeroad.state.topology;

/** A host, given as an IP address, and a port. */
public record HostPort(String host, int port) {
    /** Returns the {@code host:port} form that settings and messages use. */
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
