package org.lycheeroad.transport.http;

/** Decides which requests of a {@link StreamingHttpServer} are streamed, and handles them. */
public interface StreamingHttpHandler extends HttpHandler {
    /** Returns whether the body of this request is streamed rather than held in memory. */
    boolean isStreamed(String method, String path);

    /**
     * Starts a streamed request; the first part of the body is read after this call, further parts
     * when the listener requests them by {@link HttpStream#readNextPart}.
     */
    HttpStreamListener openStream(HttpStream stream);
}
