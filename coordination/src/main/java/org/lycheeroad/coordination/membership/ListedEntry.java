package org.lycheeroad.coordination.membership;

import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/**
 * An entry as reported by the platform's list of VMs, which is updated with a delay.
 *
 * @param leaving whether the list shows the VM in a state other than live
 */
public record ListedEntry(EntryId id, RegionId region, HostPort address, boolean leaving) {}
