package org.lycheeroad.protocol.store;

import java.util.List;

/**
 * One line of the response stream of a watch.
 *
 * @param compactRevision greater than 0 if the requested start revision has been compacted
 */
public record WatchResponse(
        long revision,
        boolean created,
        boolean canceled,
        long compactRevision,
        List<WatchEvent> events) {}
