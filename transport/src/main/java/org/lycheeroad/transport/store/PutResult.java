package org.lycheeroad.transport.store;

import org.lycheeroad.protocol.store.KeyValue;

/**
 * The result of a {@link ConditionalPut}.
 *
 * @param revision the revision of the write, or 0 if it is not known
 * @param existing the key as read when the condition did not hold; null if the key is absent
 */
public record PutResult(Status status, long revision, KeyValue existing) {
    /** How the write ended. */
    public enum Status {
        /** The value is stored. */
        WRITTEN,
        /** The condition did not hold and the value was not stored. */
        REFUSED,
        /** The value was not stored. */
        UNAVAILABLE,
        /** The value may be stored, now or later. */
        UNSETTLED
    }
}
