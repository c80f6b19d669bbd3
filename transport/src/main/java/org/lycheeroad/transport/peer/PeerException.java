package org.lycheeroad.transport.peer;

/** Reports a request to a peer that got no reply. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1;

    private final boolean mMayHaveBeenReceived;

    public PeerException(boolean sent, String message) {
        super(message);
        mMayHaveBeenReceived = sent;
    }

    /** Returns whether the peer may have received the request. */
    public boolean mayHaveBeenReceived() {
        return mMayHaveBeenReceived;
    }
}
