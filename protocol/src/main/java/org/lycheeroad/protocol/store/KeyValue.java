package org.lycheeroad.protocol.store;

/**
 * One key of the store with its value, decoded as UTF-8.
 *
 * @param createRevision the store's revision at which the key was created
 * @param modRevision the store's revision at which the key was last changed
 * @param version 1 when the key is created, and incremented by each later write
 * @param leaseId the lease that the key is attached to, or 0
 */
public record KeyValue(
        String key,
        String value,
        long createRevision,
        long modRevision,
        long version,
        long leaseId) {}
