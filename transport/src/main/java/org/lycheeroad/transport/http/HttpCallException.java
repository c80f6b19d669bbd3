package org.lycheeroad.transport.http;

/** Thrown when an HTTP call fails before a complete response has arrived. */
public final class HttpCallException extends Exception {
    private static final long serialVersionUID = 1;

    /** How far the call had got when it failed. */
    public enum Kind {
        /** No byte of the request was sent. */
        NOT_SENT,
        /** The connection failed; the request may have been processed. */
        BROKEN,
        /** No complete response arrived in time; the request may have been processed. */
        TIMEOUT
    }

    private final Kind mKind;

    public HttpCallException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /** Returns how far the call had got when it failed. */
    public Kind kind() {
        return mKind;
    }
}
