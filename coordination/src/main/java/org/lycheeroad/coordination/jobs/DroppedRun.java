package org.lycheeroad.coordination.jobs;

import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.RunRef;

/**
 * A run that is taken as over although its worker has not reported its end.
 *
 * @param phase the name of the phase that the run was in
 * @param startSentMsAgo the time since its start was last sent; -1 if an earlier owner sent it
 * @param hasUnansweredStart whether a start order for it was not answered
 */
public record DroppedRun(
        RunRef run,
        WorkerId worker,
        Cause cause,
        String phase,
        long startSentMsAgo,
        boolean hasUnansweredStart) {
    /** Why a run is taken as over. */
    public enum Cause {
        /** All leases that the worker may have had have expired. */
        LEASE_EXPIRED,
        /** A report that must show the run lacks it. */
        NOT_REPORTED,
        /** The worker has restarted. */
        WORKER_RESTARTED,
        /** Another worker has taken the address. */
        WORKER_REPLACED
    }
}
