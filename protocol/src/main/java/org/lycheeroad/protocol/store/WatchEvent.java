package org.lycheeroad.protocol.store;

/** A key that was written or deleted; a deleted key has an empty value. */
public record WatchEvent(boolean deleted, KeyValue keyValue) {}
