package org.lycheeroad.transport.http;

/** Handles the requests of an {@link HttpServer} on its event loop; it must not block. */
public interface HttpHandler {
    /** Handles one request; the response may be sent later, from any thread. */
    void handle(HttpCall call);
}
