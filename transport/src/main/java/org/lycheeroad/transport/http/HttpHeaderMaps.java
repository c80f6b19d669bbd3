package org.lycheeroad.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Converts Netty headers to maps with lower-case names; only the first value of a name is kept. */
final class HttpHeaderMaps {
    private HttpHeaderMaps() {}

    static Map<String, String> toMap(HttpHeaders headers) {
        Map<String, String> map = new HashMap<>();
        headers.forEach(e -> map.putIfAbsent(e.getKey().toLowerCase(Locale.ROOT), e.getValue()));
        return map;
    }
}
