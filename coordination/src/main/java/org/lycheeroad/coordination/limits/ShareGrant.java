package org.lycheeroad.coordination.limits;

import java.util.Map;

/**
 * Shares that the holder of the role {@code limits} leases to one entry.
 *
 * @param token fencing token of the role holder
 * @param sequence grows with each grant of one role holder to the entry
 * @param instance the process of the entry that the grant is for; it means nothing to another one
 * @param reportNumber number of the entry's newest report that the holder has seen; the lease
 *     counts from the time at which the entry sent that report, so it never outlives the holder's
 *     own count
 * @param leaseMillis length of the lease
 * @param shares requests per second above the floor; what is missing is zero
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
