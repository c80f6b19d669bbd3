package org.lycheeroad.coordination.membership;

import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/**
 * Identifies one run of an entry; written to the store as JSON.
 *
 * @param instance start time of the run in milliseconds since the epoch; a later run on the same or
 *     on a replacement VM has a greater one; 0 if only the list of VMs names the entry
 */
public record MemberIdentity(EntryId id, long instance, RegionId region, HostPort address) {}
