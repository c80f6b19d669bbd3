package org.lycheeroad.transport.store;

import org.lycheeroad.protocol.store.StoreCompare;

/**
 * A conditional write of a single key, independent of other writes.
 *
 * @param value has to contain an id unique to this write, by which a retry recognizes that an
 *     earlier attempt was applied
 * @param leaseId the id of the lease to attach the key to, or 0 for none
 * @param condition the condition, which refers to the same key
 */
public record ConditionalPut(String key, String value, long leaseId, StoreCompare condition) {}
