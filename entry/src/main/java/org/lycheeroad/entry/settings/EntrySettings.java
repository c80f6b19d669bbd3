package org.lycheeroad.entry.settings;

import java.util.List;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.EntryInfo;
import org.lycheeroad.state.topology.HostPort;

/**
 * Validated settings of one entry.
 *
 * @param callerListenAddress the address of the server for callers
 * @param peerListenAddress the address of the server for other entries
 * @param operatorListenAddress the address of the server for operators
 * @param peerAddress the address advertised to other entries, which differs from {@code
 *     peerListenAddress} when the latter is a wildcard
 * @param peers the other entries known at startup
 * @param storeAddress the address of the store's HTTP/JSON gateway
 * @param vmListAddress the address of the VM list server
 * @param entryCount the number of entries in the deployment, which share rate limits and target
 *     connections
 * @param linkBytesPerSecond the limit in each direction for the requests of all entries together on
 *     the link between regions
 * @param maxConnectionsPerTarget the limit on connections from this entry to one target
 * @param operatorToken the bearer token of the operators' API, or empty if none is required
 * @param notReadyDelayMs how long the entry accepts requests after it reports not ready
 * @param shutdownTimeoutMs the limit on the time from the termination signal to the end of the
 *     process
 */
public record EntrySettings(
        EntryId entryId,
        RegionId region,
        FailureDomainId failureDomain,
        HostPort callerListenAddress,
        HostPort peerListenAddress,
        HostPort operatorListenAddress,
        HostPort peerAddress,
        List<EntryInfo> peers,
        HostPort storeAddress,
        HostPort vmListAddress,
        int entryCount,
        int linkBytesPerSecond,
        int maxConnectionsPerTarget,
        String operatorToken,
        String logLevel,
        long vmListPollIntervalMs,
        long notReadyDelayMs,
        long shutdownTimeoutMs,
        int maxRequestsInProgress,
        int maxBufferBytes,
        int eventCapacity) {
    /** Returns this entry's own description, as its peers see it. */
    public EntryInfo localEntry() {
        return new EntryInfo(entryId, region, failureDomain, peerAddress);
    }
}
