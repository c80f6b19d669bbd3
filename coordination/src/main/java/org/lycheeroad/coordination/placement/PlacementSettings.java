package org.lycheeroad.coordination.placement;

import org.lycheeroad.state.id.RegionId;

/**
 * Time limits and bounds of placement in one region; all times are in milliseconds.
 *
 * @param reservationHoldMs how long a worker keeps a reservation or a confirmation
 * @param firstLeaseMs lease granted by START
 * @param leaseMs lease granted by RENEW
 * @param leaseMarginMs added to a lease before its accelerators count as released
 * @param renewIntervalMs time between renewals
 * @param maxReportAgeMs age up to which a report proves that a task runs
 * @param reportTimeoutMs age of the last report after which a worker that has answered for a gang
 *     is not used for new ones; renewals bring a report every 2 s, give or take a tick
 * @param idleReportTimeoutMs the same for any other worker; longer, as no gang there needs a
 *     renewal and a reservation on a dead worker fails before anything runs. The gang is placed
 *     again more than 4 s later (call timeout and hold), when all workers that died before it are
 *     known
 * @param memberLostTimeoutMs silence of a worker after which a running gang stops
 * @param resendIntervalMs time after which an unanswered order is sent again
 * @param checkpointGraceMs time between CHECKPOINT and STOP of a reclaimed gang
 * @param maxUrgentStartMs bound on the start of urgent work
 * @param adoptionTimeoutMs time that a new owner waits for the missing members of a gang
 * @param claimAfterMs wait after which workers are kept free for a gang
 * @param maxStartWaitMs wait after which borrowers are stopped for a gang
 * @param initialQuarantineMs first quarantine of a worker that fails every task
 * @param maxRuns runs of a gang that may fail before the job fails
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

    /** Returns the settings of docs/design.md section 3.3. */
    public static PlacementSettings defaults(RegionId region) {
        return new PlacementSettings(
                region, 3_000, 3_000, 6_000, 400, 2_000, 2_000, 2_500, 4_000, 4_000, 300, 3_000,
                8_600, 2_000, 120_000, 900_000, 30_000, 3);
    }

    /** Returns the time after which a task of an unreachable worker has certainly stopped. */
    long leaseExpiryMs() {
        return leaseMs + leaseMarginMs;
    }
}
