package org.lycheeroad.scheduler.port;

/** Thrown when a call to the metadata store fails. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1;

    /** The effect and cause of a failed call, as far as they are known. */
    public enum Kind {
        /** The store did not apply the call. */
        REFUSED,
        /** The store may have applied the call, or may apply it later. */
        UNKNOWN,
        /** The store has compacted the history that a watch requested. */
        COMPACTED,
        /** The lease that a transaction refers to has ended. */
        LEASE_ENDED
    }

    private final Kind mKind;

    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /** Returns the kind of the failure. */
    public Kind kind() {
        return mKind;
    }

    /**
     * Returns the kind of the first {@code StoreException} in a chain of causes, or {@link
     * Kind#UNKNOWN} if there is none.
     */
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

    /** Returns whether a failure was reported by the store itself, which is therefore available. */
    public static boolean isFromStore(Throwable failure) {
        Kind kind = kindOf(failure);
        return kind == Kind.COMPACTED || kind == Kind.LEASE_ENDED;
    }
}
