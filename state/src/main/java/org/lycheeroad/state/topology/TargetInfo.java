package org.lycheeroad.state.topology;

import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TargetId;

/**
 * A target as listed by the platform.
 *
 * @param slots the number of requests that the target processes concurrently
 * @param connections the number of connections that the target accepts
 * @param draining whether the target is shutting down and must not receive new requests
 */
public record TargetInfo(
        TargetId id,
        RegionId region,
        FailureDomainId failureDomain,
        HostPort address,
        int slots,
        int connections,
        boolean draining) {}
