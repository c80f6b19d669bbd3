package org.lycheeroad.entry.control;

import java.util.List;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/**
 * What the control plane is told at the start of the daemon.
 *
 * @param peerAddress the address on which peers reach this entry
 * @param peers the addresses of the other entries; this entry's own address is ignored
 * @param entryCount the configured number of entries, over which limits are split
 * @param linkBytesPerSecond the limit on bytes of requests between regions, for all entries
 * @param instance grows with each start of an entry on any VM, such as the time in milliseconds
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
