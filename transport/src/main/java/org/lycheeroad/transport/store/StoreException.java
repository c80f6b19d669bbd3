package org.lycheeroad.transport.store;

/** Thrown when a store call fails. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1;

    /** What is known about the effect of the failed call. */
    public enum Kind {
        /** The call was not sent or was a read, so it had no effect. */
        UNAVAILABLE,
        /** It is unknown whether the write has taken or will take effect. */
        UNSETTLED,
        /** The store rejected the call. */
        REJECTED
    }

    private final Kind mKind;

    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /** Returns what is known about the effect of the call. */
    public Kind kind() {
        return mKind;
    }

    /**
     * Returns the kind of the first {@link StoreException} in the cause chain, or {@code UNSETTLED}
     * if there is none.
     */
    public static Kind kindOf(Throwable failure) {
        for (Throwable t = failure; t != null; t = t.getCause()) {
            if (t instanceof StoreException e) {
                return e.kind();
            }
        }
        return Kind.UNSETTLED;
    }
}
