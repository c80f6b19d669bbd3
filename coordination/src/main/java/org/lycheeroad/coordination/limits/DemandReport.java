package org.lycheeroad.coordination.limits;

import java.util.Map;

/**
 * Demand of one entry, sent to the holder of the role {@code limits}.
 *
 * @param instance distinguishes the processes that have had the id of the entry
 * @param reportNumber number that grows with each report of the process
 * @param token token of the grant in {@code appliedSequence}
 * @param appliedSequence newest grant that the entry has applied, 0 for none; all older grants can
 *     no longer come into force
 * @param demandPerSecond requests per second that callers sent to the entry
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
