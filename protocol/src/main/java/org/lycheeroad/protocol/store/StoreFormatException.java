package org.lycheeroad.protocol.store;

/** Reports a response of the store that cannot be parsed or reports an error. */
public final class StoreFormatException extends Exception {
    private static final long serialVersionUID = 1;

    public StoreFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
