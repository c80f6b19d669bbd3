package org.lycheeroad.transport.peer;

/** Thrown when a request to a peer gets no reply. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1;

    private final boolean mMayHaveBeenReceived;

    public PeerException(boolean mayHaveBeenReceived, String message) {
        super(message);
        mMayHaveBeenReceived = mayHaveBeenReceived;
    }

    /** Returns whether the peer may have received the request. */
    public boolean mayHaveBeenReceived() {
        return mMayHaveBeenReceived;
    }
}
