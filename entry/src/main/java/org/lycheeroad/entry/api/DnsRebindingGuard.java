package org.lycheeroad.entry.api;

import io.netty.util.NetUtil;
import java.util.Locale;

/**
 * Protects the operators' API against DNS rebinding by checking the {@code Host} header.
 *
 * <p>Without a token, the API is protected only by listening on a loopback address. A web page
 * whose domain resolves to that address could make a browser on the same machine read and save the
 * table. Such a browser sends the page's domain as {@code Host}, so only IP addresses and {@code
 * localhost} are allowed.
 */
final class DnsRebindingGuard {
    private DnsRebindingGuard() {}

    /** Returns whether the header is missing, or is an IP address or localhost with any port. */
    static boolean isAllowedHost(String hostHeader) {
        String name = withoutPort(hostHeader.trim()).toLowerCase(Locale.ROOT);
        return name.isEmpty()
                || name.equals("localhost")
                || NetUtil.isValidIpV4Address(name)
                || NetUtil.isValidIpV6Address(name);
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
    }
}
