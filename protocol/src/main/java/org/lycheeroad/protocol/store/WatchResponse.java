package org.lycheeroad.protocol.store;

import java.util.List;

/**
 * One line of a watch.
 *
 * @param compactRevision greater than 0 if the requested start revision is no longer kept
 */
public record WatchResponse(
        long revision,
        boolean created,
        boolean canceled,
        long compactRevision,
        List<WatchEvent> events) {}
