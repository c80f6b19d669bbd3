package org.lycheeroad.entry.control;

import java.util.concurrent.CompletableFuture;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;

/** Passes urgent jobs and cancellations to the placement of this entry; on the control thread. */
final class LocalPlacement {
    private final RegionId mRegion;
    private final PlacementOwnership mOwnership;
    private final ControlListenerRegistry mListeners;

    LocalPlacement(RegionId region, PlacementOwnership permit, ControlListenerRegistry listeners) {
        mRegion = region;
        mOwnership = permit;
        mListeners = listeners;
    }

    /**
     * Submits an urgent job; the answer is "not the placement owner" for a job of another region
     * and after a pause. The placement duty itself refuses a job while it has no fencing token.
     */
    CompletableFuture<JobRecord> submit(JobSpec spec) {
        if (!spec.region().equals(mRegion) || !mOwnership.isRecentlyChecked()) {
            return CompletableFuture.completedFuture(PlacementOwnerClient.notOwnerRecord(spec));
        }
        CompletableFuture<JobRecord> answer = new CompletableFuture<>();
        mListeners.notifyListeners(l -> l.onUrgentSubmit(spec, answer));
        return answer;
    }

    /** Cancels a job; the answer is "not the placement owner" without the role or after a pause. */
    CompletableFuture<JobRecord> cancel(JobId job) {
        if (mOwnership.token() == 0 || !mOwnership.isRecentlyChecked()) {
            return CompletableFuture.completedFuture(PlacementOwnerClient.notOwnerRecord());
        }
        CompletableFuture<JobRecord> answer = new CompletableFuture<>();
        mListeners.notifyListeners(l -> l.onCancel(job, answer));
        return answer;
    }
}
