package org.lycheeroad.scheduler.port;

/** Reports a call to the store that failed. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1;

    /** What is known of a failed call. */
    public enum Kind {
        /** The store has done nothing. */
        REFUSED,
        /** The call may have been carried out, or may be later. */
        UNKNOWN,
        /** The history that a watch asked for is gone. */
        COMPACTED,
        /** The lease that a commit named has ended. */
        LEASE_ENDED
    }

    private final Kind mKind;

    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /** Returns what is known of the call. */
    public Kind kind() {
        return mKind;
    }

    /** Returns what is known of a call that failed with any exception. */
    public static Kind kindOf(Throwable failure) {
        Throwable cause = failure;
        while (cause != null) {
            if (cause instanceof StoreException e) {
                return e.kind();
            }
            cause = cause.getCause();
        }
        return Kind.UNKNOWN;
    }
}
