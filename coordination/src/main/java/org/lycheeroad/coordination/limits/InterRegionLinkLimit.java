package org.lycheeroad.coordination.limits;

import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;

/**
 * The limit on the bytes that requests send over the link between regions.
 *
 * <p>It is divided between the entries like the limits in the operators' table, in bytes per second
 * for each direction.
 */
public final class InterRegionLinkLimit {
    /**
     * Key of the limit. The colons distinguish it from the ids in use; a table row with the same
     * team and kind loses its limit.
     */
    public static final LimitKey KEY =
            new LimitKey(new TeamId(":link-between-regions:"), new KindId(":bytes:"));

    private InterRegionLinkLimit() {}
}
