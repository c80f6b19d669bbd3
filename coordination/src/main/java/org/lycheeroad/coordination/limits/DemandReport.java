package org.lycheeroad.coordination.limits;

import java.util.Map;

/**
 * The demand on one entry, sent to the holder of the role {@code limits}.
 *
 * @param instance distinguishes successive processes with the same entry id
 * @param reportNumber number that increases with each report of the process
 * @param token fencing token of the grant that {@code appliedSequence} names
 * @param appliedSequence sequence number of the newest grant that the entry has applied, or 0 if
 *     there is none; the entry rejects all earlier grants
 * @param demandPerSecond requests per second that callers sent to the entry; bytes per second for
 *     {@link InterRegionLinkLimit}
 */
public record DemandReport(
        long instance,
        long reportNumber,
        long token,
        long appliedSequence,
        Map<LimitKey, Double> demandPerSecond) {
    public DemandReport {
        demandPerSecond = Map.copyOf(demandPerSecond);
    }
}
