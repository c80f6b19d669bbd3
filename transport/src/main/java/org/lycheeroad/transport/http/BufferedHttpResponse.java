package org.lycheeroad.transport.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** An HTTP response whose body is held in memory. */
public final class BufferedHttpResponse {
    private final int mStatus;
    private final Map<String, String> mHeaders;
    private final byte[] mBody;

    BufferedHttpResponse(int status, Map<String, String> headers, byte[] body) {
        mStatus = status;
        mHeaders = Map.copyOf(headers);
        mBody = body;
    }

    public int status() {
        return mStatus;
    }

    /** Returns a copy of the body. */
    public byte[] body() {
        return mBody.clone();
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(mBody, StandardCharsets.UTF_8);
    }

    /** Returns the value of a header, or an empty string if it is absent. */
    public String header(String name) {
        return mHeaders.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
}
