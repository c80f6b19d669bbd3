package org.lycheeroad.transport.worker;

/** Thrown when a worker rejects a request because it has seen a greater fencing token. */
public final class StaleTokenException extends Exception {
    private static final long serialVersionUID = 1;

    private final long mGreatestToken;

    StaleTokenException(long greatestToken) {
        super("the worker has seen the greater fencing token " + greatestToken);
        mGreatestToken = greatestToken;
    }

    /** Returns the greatest token that the worker has seen. */
    public long greatestToken() {
        return mGreatestToken;
    }
}
