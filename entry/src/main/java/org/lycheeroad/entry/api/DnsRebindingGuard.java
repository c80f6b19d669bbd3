package org.lycheeroad.entry.api;

import io.netty.util.NetUtil;
import java.util.Locale;

/**
 * Decides whether a {@code Host} header names this machine by number or as {@code localhost}.
 *
 * <p>Without a token, operators' calls are protected by the loopback address alone. A web page
 * whose domain resolves to that address could otherwise have a browser on the machine read and save
 * the table; such a browser sends the page's domain as {@code Host}.
 */
final class DnsRebindingGuard {
    private DnsRebindingGuard() {}

    /** Returns whether the header is absent, an IP number or localhost, with any port. */
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
