package org.lycheeroad.coordination.placement;

import org.lycheeroad.state.id.RegionId;

/**
 * Time-outs and other limits of placement in one region; all times are in milliseconds.
 *
 * @param reservationHoldMs how long a worker keeps a reservation or a confirmation
 * @param firstLeaseMs lease granted by START
 * @param leaseMs lease granted by RENEW
 * @param leaseMarginMs time after the end of a lease until its accelerators count as released
 * @param renewIntervalMs time between renewals
 * @param maxReportAgeMs age up to which a report proves that a task runs
 * @param reportTimeoutMs age of the last report after which a worker gets no new gangs, if one of
 *     its gangs is past its reservations; the renewals of such a gang bring a report every 2 s,
 *     give or take a tick
 * @param idleReportTimeoutMs the same for any other worker. It may be longer, as no gang there
 *     needs a renewal and a reservation on a dead worker fails before anything runs. Such a gang is
 *     placed again more than 4 s later (call time-out and reservation hold); by then all workers
 *     that died before the first placement are known
 * @param memberLostTimeoutMs age of a worker's last report after which its running gangs are
 *     stopped
 * @param resendIntervalMs time after which an unanswered order is sent again
 * @param checkpointGraceMs time between CHECKPOINT and STOP of a reclaimed gang
 * @param maxUrgentStartMs time from submission within which urgent work must start
 * @param adoptionTimeoutMs how long a new owner waits for reports of all members of a gang
 * @param claimAfterMs wait after which workers are kept free for a gang
 * @param maxStartWaitMs wait after which borrowers are stopped for a gang, and after which a gang
 *     ends whose workers have left the list
 * @param initialQuarantineMs length of a worker's first quarantine; see {@link WorkerHealth}
 * @param maxRuns number of failed runs after which the job fails
 */
public record PlacementSettings(
        RegionId region,
        long reservationHoldMs,
        long firstLeaseMs,
        long leaseMs,
        long leaseMarginMs,
        long renewIntervalMs,
        long maxReportAgeMs,
        long reportTimeoutMs,
        long idleReportTimeoutMs,
        long memberLostTimeoutMs,
        long resendIntervalMs,
        long checkpointGraceMs,
        long maxUrgentStartMs,
        long adoptionTimeoutMs,
        long claimAfterMs,
        long maxStartWaitMs,
        long initialQuarantineMs,
        int maxRuns) {

    /** Returns the settings that docs/design.md, section 3.3, explains. */
    public static PlacementSettings defaults(RegionId region) {
        return new PlacementSettings(
                region, 3_000, 3_000, 6_000, 400, 2_000, 2_000, 2_500, 4_000, 4_000, 300, 3_000,
                8_600, 2_000, 120_000, 900_000, 30_000, 3);
    }

    /** Returns the time without renewal after which a task has certainly stopped. */
    long leaseExpiryMs() {
        return leaseMs + leaseMarginMs;
    }
}
