package org.lycheeroad.transport.store;

import org.lycheeroad.protocol.store.StoreCompare;

/**
 * A write of one key that is independent of other writes.
 *
 * @param value contains an id that no other write has, by which a lost answer is settled
 * @param leaseId the lease of the key, or 0
 * @param condition the condition on the same key
 */
public record ConditionalPut(String key, String value, long leaseId, StoreCompare condition) {}
