package org.lycheeroad.coordination.routing;

import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;

/**
 * Settings of a router.
 *
 * @param entry the id of this entry
 * @param region the region of this entry
 * @param failureDomain the failure domain of this entry
 * @param entryCount the configured number of entries that share each target's connections, at least
 *     1
 * @param linkBytesPerSecond the maximum number of bytes per second, in each direction, that the
 *     requests of all entries together transfer over the link between regions
 * @param maxQueuedPerTeam the maximum number of waiting requests of one team
 * @param maxQueued the maximum number of waiting requests of all teams
 */
public record RouterSettings(
        EntryId entry,
        RegionId region,
        FailureDomainId failureDomain,
        int entryCount,
        double linkBytesPerSecond,
        int maxQueuedPerTeam,
        int maxQueued) {
    /** A fifth of a 20 Mbit/s link, which is shared with other traffic. */
    public static final int DEFAULT_LINK_BYTES_PER_SECOND = 500_000;

    /** At current request rates, no deadline allows a wait in a longer queue of one team. */
    public static final int DEFAULT_MAX_QUEUED_PER_TEAM = 2_000;

    /** Limits the memory that waiting requests use to a few megabytes. */
    public static final int DEFAULT_MAX_QUEUED = 10_000;

    public RouterSettings {
        if (entryCount < 1 || maxQueuedPerTeam < 1 || maxQueued < 1 || linkBytesPerSecond < 0) {
            throw new IllegalArgumentException(
                    "entryCount, maxQueuedPerTeam and maxQueued must be at least 1 and"
                            + " linkBytesPerSecond at least 0");
        }
    }

    /** Creates settings with default limits. */
    public RouterSettings(
            EntryId entry, RegionId region, FailureDomainId failureDomain, int entryCount) {
        this(
                entry,
                region,
                failureDomain,
                entryCount,
                DEFAULT_LINK_BYTES_PER_SECOND,
                DEFAULT_MAX_QUEUED_PER_TEAM,
                DEFAULT_MAX_QUEUED);
    }
}
