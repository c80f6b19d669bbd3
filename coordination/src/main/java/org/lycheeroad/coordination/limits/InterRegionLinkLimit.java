package org.lycheeroad.coordination.limits;

import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;

/**
 * Names the limit on bytes that requests send over the link between regions.
 *
 * <p>It is shared over the entries like the limits of the table, in bytes per second for each
 * direction.
 */
public final class InterRegionLinkLimit {
    /** The colons keep it apart from ids in use; a table row of this name loses its limit. */
    public static final LimitKey KEY =
            new LimitKey(new TeamId(":link-between-regions:"), new KindId(":bytes:"));

    private InterRegionLinkLimit() {}
}
