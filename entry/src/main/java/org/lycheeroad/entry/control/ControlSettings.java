package org.lycheeroad.entry.control;

import java.util.List;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/**
 * The configuration of the control plane.
 *
 * @param peerAddress the address at which peers connect to this entry
 * @param peers the addresses of the other entries; this entry's own address is ignored
 * @param entryCount the configured number of entries, among which limits are divided
 * @param linkBytesPerSecond the limit on request bytes between regions, for all entries together
 * @param instance a number that increases with each start of an entry on any VM, such as the start
 *     time in milliseconds
 * @param clusterRegions all regions of the cluster
 */
public record ControlSettings(
        EntryId entry,
        RegionId region,
        FailureDomainId failureDomain,
        HostPort peerAddress,
        List<HostPort> peers,
        HostPort storeAddress,
        int entryCount,
        double linkBytesPerSecond,
        long instance,
        List<RegionId> clusterRegions) {
    public ControlSettings {
        peers = List.copyOf(peers);
        clusterRegions = List.copyOf(clusterRegions);
    }
}
