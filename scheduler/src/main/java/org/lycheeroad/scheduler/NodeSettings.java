package org.lycheeroad.scheduler;

import java.util.List;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/**
 * The settings of one daemon.
 *
 * @param peer the address for other daemons
 * @param seeds addresses of other daemons that may be stale
 * @param holdMaxMs the longest lease that workers grant, in milliseconds
 * @param reclaimMs how soon an urgent job within its guarantee must run, in milliseconds
 * @param remoteFactor how much longer tasks run away from their data or across racks
 * @param statusKeepMs how long ended jobs are shown, in milliseconds
 * @param shutdownMs the time that a daemon has after a termination signal, in milliseconds
 * @param minLeaseMs the shortest lease that the store grants, in milliseconds
 */
public record NodeSettings(
        EntryId name,
        RegionId region,
        FailureDomainId failureDomain,
        HostPort peer,
        List<HostPort> seeds,
        long holdMaxMs,
        long reclaimMs,
        double remoteFactor,
        long statusKeepMs,
        long shutdownMs,
        long minLeaseMs) {
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }
}
