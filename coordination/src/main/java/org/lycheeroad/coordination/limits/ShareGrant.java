package org.lycheeroad.coordination.limits;

import java.util.Map;

/**
 * Shares of the limits that the holder of the role {@code limits} leases to one entry.
 *
 * @param token fencing token of the role holder
 * @param sequence number that increases with each grant of one role holder to the entry
 * @param instance the process of the entry that the grant is for; other processes ignore it
 * @param reportNumber number of the entry's newest report that the holder has received; the lease
 *     starts when the entry sent that report, so it expires no later at the entry than at the
 *     holder
 * @param leaseMillis duration of the lease
 * @param shares requests per second in addition to the base share, or bytes per second for {@link
 *     InterRegionLinkLimit}; an absent limit means zero
 */
public record ShareGrant(
        long token,
        long sequence,
        long instance,
        long reportNumber,
        long leaseMillis,
        Map<LimitKey, Double> shares) {
    public ShareGrant {
        shares = Map.copyOf(shares);
    }
}
