package org.lycheeroad.entry.api;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Map;
import org.lycheeroad.transport.http.HttpCall;

/**
 * Serves the static files of the operators' page from the classpath.
 *
 * <p>The files contain no data of the deployment, so serving them requires no token. The page asks
 * for the token and sends it with each API call.
 */
final class OperatorPage {
    private static final String PATH_PREFIX = "/ops/";

    /** Forbids external resources, inline scripts, framing and requests to other origins. */
    private static final Map<String, String> SECURITY_HEADERS =
            Map.of(
                    "Content-Security-Policy",
                    "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self';"
                            + " base-uri 'none'; form-action 'none'; frame-ancestors 'none'",
                    "X-Content-Type-Options",
                    "nosniff",
                    "Referrer-Policy",
                    "no-referrer",
                    // A cached script from before an upgrade could be incompatible with the API.
                    "Cache-Control",
                    "no-store");

    private final Map<String, Asset> mAssetByPath =
            Map.of(
                    PATH_PREFIX,
                    load("index.html", "text/html; charset=utf-8"),
                    PATH_PREFIX + "page.js",
                    load("page.js", "text/javascript; charset=utf-8"),
                    PATH_PREFIX + "grid.js",
                    load("grid.js", "text/javascript; charset=utf-8"),
                    PATH_PREFIX + "page.css",
                    load("page.css", "text/css; charset=utf-8"));

    /** Answers the call if it requests a file of the page; returns whether it did. */
    boolean serve(HttpCall call) {
        if (!call.method().equals("GET")) {
            return false;
        }
        if (call.path().equals("/ops")) {
            call.respond(308, "text/plain", Map.of("Location", PATH_PREFIX), new byte[0]);
            return true;
        }
        Asset asset = mAssetByPath.get(call.path());
        if (asset != null) {
            call.respond(200, asset.mContentType, SECURITY_HEADERS, asset.mBody);
        }
        return asset != null;
    }

    private static Asset load(String name, String contentType) {
        try (InputStream stream = OperatorPage.class.getResourceAsStream("/ops/" + name)) {
            if (stream == null) {
                throw new IllegalStateException(
                        "resource /ops/" + name + " not found on the classpath");
            }
            return new Asset(contentType, stream.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static final class Asset {
        private final String mContentType;
        private final byte[] mBody;

        Asset(String contentType, byte[] body) {
            mContentType = contentType;
            mBody = body;
        }
    }
}
