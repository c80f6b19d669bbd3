package org.lycheeroad.transport.http;

/** Receives the lines of a streamed response body on the client's event loop. */
public interface HttpLineListener {
    /** Called for each line, without the line terminator. */
    void onLine(String line);

    /** Called once when the stream ends; {@code cause} is null if the response was complete. */
    void onEnd(Throwable cause);
}
