package org.lycheeroad.protocol.store;

import java.util.List;

/** The keys in a range at a revision of the store. */
public record RangeResponse(long revision, List<KeyValue> keyValues) {}
