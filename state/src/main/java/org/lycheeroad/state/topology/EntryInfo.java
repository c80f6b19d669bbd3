package org.lycheeroad.state.topology;

import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;

/**
 * An entry.
 *
 * @param peerAddress the address on which it listens for other entries
 */
public record EntryInfo(
        EntryId id, RegionId region, FailureDomainId failureDomain, HostPort peerAddress) {}
