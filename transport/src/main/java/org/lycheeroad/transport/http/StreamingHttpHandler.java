package org.lycheeroad.transport.http;

/** Decides which requests of a {@link StreamingHttpServer} are streamed, and handles them. */
public interface StreamingHttpHandler extends HttpHandler {
    /** Returns whether the body of this request is handed over part by part. */
    boolean isStreamed(String method, String path);

    /** Starts a streamed request; its first part is read after this, further ones on demand. */
    HttpStreamListener openStream(HttpStream stream);
}
