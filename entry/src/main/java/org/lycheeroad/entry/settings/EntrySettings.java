package org.lycheeroad.entry.settings;

import java.util.List;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.EntryInfo;
import org.lycheeroad.state.topology.HostPort;

/**
 * The checked settings of one entry; times are in milliseconds.
 *
 * @param callerListenAddress where callers connect
 * @param peerListenAddress where other entries connect
 * @param operatorListenAddress where operators connect
 * @param peerAddress the address that other entries use, which differs from {@code
 *     peerListenAddress} when the latter is a wildcard
 * @param peers the other entries known at start-up
 * @param storeAddress the store's HTTP/JSON gateway
 * @param vmListAddress the server of the VM list
 * @param entryCount the number of entries of the deployment, which share limits and connections
 * @param linkBytesPerSecond the most bytes per second that the requests of all entries send over
 *     the link between regions, in each direction
 * @param maxConnectionsPerTarget the most connections of this entry to one target
 * @param operatorToken the operators' bearer token, or empty
 * @param notReadyDelayMs how long the entry stays open after it stopped being ready
 * @param shutdownTimeoutMs the longest time from the signal to the end of the process
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
    /** Returns this entry as its peers see it. */
    public EntryInfo localEntry() {
        return new EntryInfo(entryId, region, failureDomain, peerAddress);
    }
}
