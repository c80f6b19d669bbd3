package org.lycheeroad.entry.control;

import java.util.concurrent.CompletableFuture;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;

/**
 * Passes urgent jobs and cancellations to this entry's placement service, on the control thread.
 */
final class LocalPlacement {
    private final RegionId mRegion;
    private final PlacementOwnership mOwnership;
    private final ControlListenerRegistry mListeners;

    LocalPlacement(
            RegionId region, PlacementOwnership ownership, ControlListenerRegistry listeners) {
        mRegion = region;
        mOwnership = ownership;
        mListeners = listeners;
    }

    /**
     * Submits an urgent job.
     *
     * <p>The result is "not the placement owner" for a job of another region and if the role was
     * not checked recently. The placement service itself rejects a job while it has no fencing
     * token.
     */
    CompletableFuture<JobRecord> submit(JobSpec spec) {
        if (!spec.region().equals(mRegion) || !mOwnership.isRecentlyChecked()) {
            return CompletableFuture.completedFuture(PlacementOwnerClient.notOwnerRecord(spec));
        }
        CompletableFuture<JobRecord> result = new CompletableFuture<>();
        mListeners.notifyListeners(l -> l.onUrgentSubmit(spec, result));
        return result;
    }

    /**
     * Cancels a job.
     *
     * <p>The result is "not the placement owner" without the role and if the role was not checked
     * recently.
     */
    CompletableFuture<JobRecord> cancel(JobId job) {
        if (mOwnership.heldToken() == 0 || !mOwnership.isRecentlyChecked()) {
            return CompletableFuture.completedFuture(PlacementOwnerClient.notOwnerRecord());
        }
        CompletableFuture<JobRecord> result = new CompletableFuture<>();
        mListeners.notifyListeners(l -> l.onCancel(job, result));
        return result;
    }
}
