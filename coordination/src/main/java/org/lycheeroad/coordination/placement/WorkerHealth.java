package org.lycheeroad.coordination.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;

/**
 * Quarantines workers that fail every task and probes them later.
 *
 * <p>A worker is suspected once per job. Two suspicions without a success in between put it into
 * quarantine. A job that fails on all its attempts takes its suspicions back, so that a bad job
 * does not bring a good worker into quarantine.
 */
final class WorkerHealth {
    private static final int FAILED_JOBS_TO_QUARANTINE = 2;
    // Probes stay frequent enough to find a repaired worker within the shift.
    private static final int MAX_DOUBLINGS = 5;

    private static final class History {
        final Set<JobId> mFailedJobs = new HashSet<>();
        int mDoublings;
        long mQuarantinedUntilMs;
        boolean mProbing;
    }

    private final long mQuarantineMs;
    private final Map<WorkerId, History> mHistories = new HashMap<>();

    WorkerHealth(long quarantineMs) {
        mQuarantineMs = quarantineMs;
    }

    void clear() {
        mHistories.clear();
    }

    /** Records a task failure; returns whether the worker is now in quarantine. */
    boolean recordFailure(WorkerState worker, JobId job, long now) {
        History health = mHistories.computeIfAbsent(worker.mId, id -> new History());
        health.mFailedJobs.add(job);
        if (health.mProbing || health.mFailedJobs.size() >= FAILED_JOBS_TO_QUARANTINE) {
            health.mQuarantinedUntilMs =
                    now + (mQuarantineMs << Math.min(health.mDoublings, MAX_DOUBLINGS));
            health.mDoublings++;
            health.mProbing = false;
            worker.mQuarantined = true;
        }
        return worker.mQuarantined;
    }

    /** Records that a task ran to its end. */
    void recordSuccess(WorkerState worker) {
        if (mHistories.remove(worker.mId) != null) {
            worker.mQuarantined = false;
        }
    }

    /** Takes the suspicions of a job back that failed on every attempt. */
    void discardFailures(JobId job, TopologyIndex topology) {
        mHistories
                .entrySet()
                .removeIf(
                        entry -> {
                            History health = entry.getValue();
                            if (!health.mFailedJobs.remove(job)
                                    || health.mFailedJobs.size() >= FAILED_JOBS_TO_QUARANTINE) {
                                return false;
                            }
                            WorkerState worker = topology.find(entry.getKey());
                            if (worker != null) {
                                worker.mQuarantined = false;
                            }
                            return health.mFailedJobs.isEmpty();
                        });
    }

    /** Ends quarantines that are over; the next task on such a worker is a probe. */
    boolean endExpiredQuarantines(TopologyIndex topology, long now) {
        boolean released = false;
        for (Map.Entry<WorkerId, History> entry : mHistories.entrySet()) {
            WorkerState worker = topology.find(entry.getKey());
            if (worker != null
                    && worker.mQuarantined
                    && now >= entry.getValue().mQuarantinedUntilMs) {
                worker.mQuarantined = false;
                entry.getValue().mProbing = true;
                released = true;
            }
        }
        return released;
    }

    /** Returns whether the worker is trusted with only one small gang. */
    boolean isProbing(WorkerState worker) {
        History health = mHistories.get(worker.mId);
        return health != null && health.mProbing;
    }
}
