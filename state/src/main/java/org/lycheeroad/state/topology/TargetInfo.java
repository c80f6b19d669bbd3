package org.lycheeroad.state.topology;

import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TargetId;

/** A target as listed by the platform; {@code leaving} targets receive no new work. */
public record TargetInfo(
        TargetId id,
        RegionId region,
        FailureDomainId failureDomain,
        HostPort address,
        int slots,
        int connections,
        boolean draining) {}
