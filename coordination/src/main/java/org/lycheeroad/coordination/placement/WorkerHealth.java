package org.lycheeroad.coordination.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;

/**
 * Quarantines workers that fail every task and probes them afterwards.
 *
 * <p>Tasks of two different jobs that fail on a worker without a success in between quarantine it.
 * After the quarantine, the worker gets single small gangs as probes: a success clears its history,
 * a failure starts a quarantine of twice the length. The failures of a job that fails in all its
 * runs are discarded, so that a faulty job does not quarantine a healthy worker.
 */
final class WorkerHealth {
    private static final int FAILED_JOBS_TO_QUARANTINE = 2;
    // Limits quarantine to 32 times its first length, so that a repaired worker is found within a
    // work shift.
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

    /** Records a failed task and returns whether the worker is in quarantine now. */
    boolean recordFailure(WorkerState worker, JobId job, long nowMs) {
        History history = mHistories.computeIfAbsent(worker.mId, id -> new History());
        history.mFailedJobs.add(job);
        if (history.mProbing || history.mFailedJobs.size() >= FAILED_JOBS_TO_QUARANTINE) {
            history.mQuarantinedUntilMs =
                    nowMs + (mQuarantineMs << Math.min(history.mDoublings, MAX_DOUBLINGS));
            history.mDoublings++;
            history.mProbing = false;
            worker.mQuarantined = true;
        }
        return worker.mQuarantined;
    }

    /** Records a successful task, which ends a quarantine and clears the worker's history. */
    void recordSuccess(WorkerState worker) {
        if (mHistories.remove(worker.mId) != null) {
            worker.mQuarantined = false;
        }
    }

    /** Discards the failures of a job that failed in all its runs, and quarantines due to them. */
    void discardFailures(JobId job, TopologyIndex topology) {
        mHistories
                .entrySet()
                .removeIf(
                        entry -> {
                            History history = entry.getValue();
                            if (!history.mFailedJobs.remove(job)
                                    || history.mFailedJobs.size() >= FAILED_JOBS_TO_QUARANTINE) {
                                return false;
                            }
                            WorkerState worker = topology.find(entry.getKey());
                            if (worker != null) {
                                worker.mQuarantined = false;
                            }
                            return history.mFailedJobs.isEmpty();
                        });
    }

    /** Ends expired quarantines and returns whether there were any; the workers are then probed. */
    boolean endExpiredQuarantines(TopologyIndex topology, long nowMs) {
        boolean anyEnded = false;
        for (Map.Entry<WorkerId, History> entry : mHistories.entrySet()) {
            WorkerState worker = topology.find(entry.getKey());
            if (worker != null
                    && worker.mQuarantined
                    && nowMs >= entry.getValue().mQuarantinedUntilMs) {
                worker.mQuarantined = false;
                entry.getValue().mProbing = true;
                anyEnded = true;
            }
        }
        return anyEnded;
    }

    /** Returns whether the worker may run only one small gang, as a probe. */
    boolean isProbing(WorkerState worker) {
        History history = mHistories.get(worker.mId);
        return history != null && history.mProbing;
    }
}
