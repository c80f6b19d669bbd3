package org.lycheeroad.coordination.routing;

import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;

/**
 * Settings of a router.
 *
 * @param entry this entry
 * @param region the region of this entry
 * @param failureDomain the failure domain of this entry
 * @param entryCount the configured number of entries that share each target's connections, at least
 *     1
 * @param linkBytesPerSecond the most bytes per second that the requests of all entries together
 *     send over the link between regions, in each direction
 * @param maxQueuedPerTeam the most waiting requests of one team
 * @param maxQueued the most waiting requests of all teams
 */
public record RouterSettings(
        EntryId entry,
        RegionId region,
        FailureDomainId failureDomain,
        int entryCount,
        double linkBytesPerSecond,
        int maxQueuedPerTeam,
        int maxQueued) {
    /** A fifth of a link of 20 Mbit/s; the rest is left to other traffic, as the link is shared. */
    public static final int DEFAULT_LINK_BYTES_PER_SECOND = 500_000;

    /** A team's queue of this length is longer than any deadline allows at today's rates. */
    public static final int DEFAULT_MAX_QUEUED_PER_TEAM = 2_000;

    /** Bounds the memory of waiting requests to a few megabytes. */
    public static final int DEFAULT_MAX_QUEUED = 10_000;

    public RouterSettings {
        if (entryCount < 1 || maxQueuedPerTeam < 1 || maxQueued < 1 || linkBytesPerSecond < 0) {
            throw new IllegalArgumentException(
                    "entries, maxQueuedPerTeam and maxQueued must be at least 1 and"
                            + " linkBytesPerSecond at least 0");
        }
    }

    /** Settings with the default bounds. */
    public RouterSettings(EntryId entry, RegionId region, FailureDomainId domain, int entries) {
        this(
                entry,
                region,
                domain,
                entries,
                DEFAULT_LINK_BYTES_PER_SECOND,
                DEFAULT_MAX_QUEUED_PER_TEAM,
                DEFAULT_MAX_QUEUED);
    }
}
