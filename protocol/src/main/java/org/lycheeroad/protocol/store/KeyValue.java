package org.lycheeroad.protocol.store;

/** One key of the store with its value as UTF-8 text; revisions are those of the whole store. */
public record KeyValue(
        String key,
        String value,
        long createRevision,
        long modRevision,
        long version,
        long leaseId) {}
