package org.lycheeroad.scheduler;

import java.util.List;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/**
 * The settings of one daemon.
 *
 * @param name the unique name of this daemon
 * @param region the region in which the daemon runs
 * @param failureDomain the failure domain in which the daemon runs
 * @param peerAddress the address on which the daemon serves other daemons
 * @param seedPeers configured addresses of other daemons; some may be out of date
 * @param maxWorkerLeaseMs the longest lease on a worker that the owner may request
 * @param reclaimDeadlineMs the time within which an urgent job must start if it fits its team's
 *     guaranteed share
 * @param remoteSlowdownFactor the factor by which a task runs longer if it is away from its data or
 *     if its gang spans racks
 * @param statusRetentionMs how long the state of an ended job stays visible
 * @param shutdownTimeoutMs the time from the termination signal until the daemon must have exited
 * @param minStoreLeaseMs the shortest lease that the store grants
 * @param evacuationMs the time within which starts in a failure domain must end once the operators
 *     have requested its evacuation; 0 if they cannot request any
 * @param overloadTriage whether waiting steps give way by what they are worth under overload
 * @param processorCores the processor time of the VM in cores, or 0 if it is not known
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
        long minStoreLeaseMs,
        long evacuationMs,
        boolean overloadTriage,
        double processorCores) {
    public NodeSettings {
        seedPeers = List.copyOf(seedPeers);
    }
}
