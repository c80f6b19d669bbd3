package org.lycheeroad.protocol.store;

/**
 * One equality condition of a transaction.
 *
 * @param expectedNumber the expected version or revision; unused for the target {@code VALUE}
 * @param expectedValue the expected value; used only for the target {@code VALUE}
 */
public record StoreCompare(String key, Target target, long expectedNumber, String expectedValue) {
    /** The property of the key that is compared. */
    public enum Target {
        VERSION,
        CREATE,
        MOD,
        VALUE
    }

    /** Requires that the key does not exist. */
    public static StoreCompare absent(String key) {
        return new StoreCompare(key, Target.VERSION, 0, "");
    }

    /** Requires that the key was last changed at the revision; 0 means that it does not exist. */
    public static StoreCompare unchangedSince(String key, long modRevision) {
        return new StoreCompare(key, Target.MOD, modRevision, "");
    }

    /** Requires that the key has the value. */
    public static StoreCompare hasValue(String key, String value) {
        return new StoreCompare(key, Target.VALUE, 0, value);
    }

    /** Returns whether the condition holds for a key, which is null if it does not exist. */
    public boolean holds(KeyValue current) {
        return switch (target) {
            case VERSION -> expectedNumber == (current == null ? 0 : current.version());
            case CREATE -> expectedNumber == (current == null ? 0 : current.createRevision());
            case MOD -> expectedNumber == (current == null ? 0 : current.modRevision());
            case VALUE -> current != null && current.value().equals(expectedValue);
        };
    }
}
