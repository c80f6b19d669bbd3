package org.lycheeroad.transport.store;

import org.lycheeroad.protocol.store.KeyValue;

/**
 * The result of a {@link ConditionalPut}.
 *
 * @param revision the revision of the write, or 0 if the value was not written
 * @param existing the key and value that were found when the condition did not hold; null if the
 *     key was absent
 */
public record PutResult(Status status, long revision, KeyValue existing) {
    /** How the write ended. */
    public enum Status {
        /** The value was written. */
        WRITTEN,
        /** The value was not written because the condition did not hold. */
        REFUSED,
        /** The value was not written because the store was unavailable or rejected the call. */
        UNAVAILABLE,
        /** It is unknown whether the value was or will be written. */
        UNSETTLED
    }
}
