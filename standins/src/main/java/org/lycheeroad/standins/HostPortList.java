package org.lycheeroad.standins;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.state.topology.HostPort;

/** Parses lists of {@code host:port} addresses. */
public final class HostPortList {
    private HostPortList() {}

    /**
     * Parses a comma-separated list of {@code host:port} addresses.
     *
     * @throws IllegalArgumentException if an address or its port is malformed
     */
    public static List<HostPort> parse(String text) {
        List<HostPort> addresses = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            int colon = part.lastIndexOf(':');
            if (colon < 1) {
                throw new IllegalArgumentException("not HOST:PORT: " + part);
            }
            addresses.add(
                    new HostPort(
                            part.substring(0, colon), Integer.parseInt(part.substring(colon + 1))));
        }
        return addresses;
    }
}
