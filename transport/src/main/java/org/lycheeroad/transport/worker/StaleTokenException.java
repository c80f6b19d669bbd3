package org.lycheeroad.transport.worker;

/** Reports that a worker has seen a greater fencing token than the one sent. */
public final class StaleTokenException extends Exception {
    private static final long serialVersionUID = 1;

    private final long mToken;

    StaleTokenException(long token) {
        super("the worker obeys token " + token);
        mToken = token;
    }

    /** Returns the greatest token that the worker has seen. */
    public long greatestToken() {
        return mToken;
    }
}
