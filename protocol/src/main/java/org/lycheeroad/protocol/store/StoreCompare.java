package org.lycheeroad.protocol.store;

/** One equality condition of a transaction; only the field that the target names is used. */
public record StoreCompare(String key, Target target, long expectedNumber, String expectedValue) {
    /** The property of the key that is compared. */
    public enum Target {
        VERSION,
        CREATE,
        MOD,
        VALUE
    }

    /** Holds while the key does not exist. */
    public static StoreCompare absent(String key) {
        return new StoreCompare(key, Target.VERSION, 0, "");
    }

    /** Holds while the key was last changed at the revision; revision 0 means that it is absent. */
    public static StoreCompare unchangedSince(String key, long modRevision) {
        return new StoreCompare(key, Target.MOD, modRevision, "");
    }

    /** Holds while the key has the value. */
    public static StoreCompare hasValue(String key, String value) {
        return new StoreCompare(key, Target.VALUE, 0, value);
    }

    /** Returns whether the condition holds for the key as read, which is null if it is absent. */
    public boolean holds(KeyValue read) {
        return switch (target) {
            case VERSION -> expectedNumber == (read == null ? 0 : read.version());
            case CREATE -> expectedNumber == (read == null ? 0 : read.createRevision());
            case MOD -> expectedNumber == (read == null ? 0 : read.modRevision());
            case VALUE -> read != null && read.value().equals(expectedValue);
        };
    }
}
