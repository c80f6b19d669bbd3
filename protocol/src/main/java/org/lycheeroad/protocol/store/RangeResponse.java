package org.lycheeroad.protocol.store;

import java.util.List;

/** Keys read at a revision. */
public record RangeResponse(long revision, List<KeyValue> keyValues) {}
