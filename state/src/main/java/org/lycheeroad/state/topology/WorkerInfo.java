package org.lycheeroad.state.topology;

import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.WorkerId;

/** A worker as listed by the platform. */
public record WorkerInfo(
        WorkerId id,
        RegionId region,
        FailureDomainId failureDomain,
        RackId rack,
        int accelerators,
        HostPort address) {}
