package org.lycheeroad.protocol.store;

/** A change of one key; a deleted key has an empty value. */
public record WatchEvent(boolean deleted, KeyValue keyValue) {}
