package org.lycheeroad.scheduler;

import java.util.List;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/**
 * The settings of one daemon.
 *
 * @param peerAddress the address for other daemons
 * @param seedPeers addresses of other daemons that may be stale
 * @param maxWorkerLeaseMs the longest lease that workers grant, in milliseconds
 * @param reclaimDeadlineMs how soon an urgent job within its guarantee must run, in milliseconds
 * @param remoteSlowdownFactor how much longer tasks run away from their data or across racks
 * @param statusRetentionMs how long ended jobs are shown, in milliseconds
 * @param shutdownTimeoutMs the time that a daemon has after a termination signal, in milliseconds
 * @param minStoreLeaseMs the shortest lease that the store grants, in milliseconds
 */
public record NodeSettings(
        EntryId name,
        RegionId region,
        FailureDomainId failureDomain,
        HostPort peerAddress,
        List<HostPort> seedPeers,
        long maxWorkerLeaseMs,
        long reclaimDeadlineMs,
        double remoteSlowdownFactor,
        long statusRetentionMs,
        long shutdownTimeoutMs,
        long minStoreLeaseMs) {
    public NodeSettings {
        seedPeers = List.copyOf(seedPeers);
    }
}
