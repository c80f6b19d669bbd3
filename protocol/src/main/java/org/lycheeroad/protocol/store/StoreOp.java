package org.lycheeroad.protocol.store;

/** One operation of a {@link StoreTxn}. */
public sealed interface StoreOp {
    /** Writes a key; with lease ID 0 the key exists until it is deleted. */
    record Put(String key, String value, long leaseId) implements StoreOp {}

    /**
     * Reads one key, or the keys from {@code key} to before {@code rangeEnd} if it is not empty.
     */
    record Get(String key, String rangeEnd) implements StoreOp {}

    /**
     * Deletes one key, or the keys from {@code key} to before {@code rangeEnd} if it is not empty.
     */
    record Delete(String key, String rangeEnd) implements StoreOp {}

    /** Writes a key without a lease. */
    static StoreOp put(String key, String value) {
        return new Put(key, value, 0);
    }

    /** Reads one key. */
    static StoreOp get(String key) {
        return new Get(key, "");
    }

    /** Deletes one key. */
    static StoreOp delete(String key) {
        return new Delete(key, "");
    }
}
