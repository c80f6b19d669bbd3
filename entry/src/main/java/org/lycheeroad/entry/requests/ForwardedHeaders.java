package org.lycheeroad.entry.requests;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Removes hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1). */
final class ForwardedHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private ForwardedHeaders() {}

    /** Returns a copy that contains only the end-to-end headers. */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        Set<String> hopByHop = new HashSet<>(HOP_BY_HOP);
        for (String value : headers.getAll("connection")) {
            for (String name : value.split(",", -1)) {
                hopByHop.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            if (!hopByHop.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
