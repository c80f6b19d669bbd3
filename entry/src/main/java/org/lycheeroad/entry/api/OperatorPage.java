package org.lycheeroad.entry.api;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Map;
import org.lycheeroad.transport.http.HttpCall;

/**
 * Serves the operators' page from the resources.
 *
 * <p>The files hold no data of the deployment, so they need no token; the page asks for it and
 * sends it with each call.
 */
final class OperatorPage {
    private static final String PATH_PREFIX = "/ops/";

    /** Nothing is loaded from elsewhere, run inline, framed or sent to another origin. */
    private static final Map<String, String> SECURITY_HEADERS =
            Map.of(
                    "Content-Security-Policy",
                    "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self';"
                            + " base-uri 'none'; form-action 'none'; frame-ancestors 'none'",
                    "X-Content-Type-Options",
                    "nosniff",
                    "Referrer-Policy",
                    "no-referrer",
                    // After an upgrade, an old script must not meet a new interface.
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

    /** Answers a call for a file of the page; returns whether it was one. */
    boolean serve(HttpCall call) {
        if (!call.method().equals("GET")) {
            return false;
        }
        if (call.path().equals("/ops")) {
            call.answer(308, "text/plain", Map.of("Location", PATH_PREFIX), new byte[0]);
            return true;
        }
        Asset asset = mAssetByPath.get(call.path());
        if (asset != null) {
            call.answer(200, asset.mContentType, SECURITY_HEADERS, asset.mBody);
        }
        return asset != null;
    }

    private static Asset load(String name, String type) {
        try (InputStream in = OperatorPage.class.getResourceAsStream("/ops/" + name)) {
            if (in == null) {
                throw new IllegalStateException("the resource /ops/" + name + " is missing");
            }
            return new Asset(type, in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static final class Asset {
        private final String mContentType;
        private final byte[] mBody;

        Asset(String type, byte[] body) {
            mContentType = type;
            mBody = body;
        }
    }
}
