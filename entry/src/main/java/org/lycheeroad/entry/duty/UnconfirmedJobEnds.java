package org.lycheeroad.entry.duty;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.coordination.placement.PlacementAction.SendOrder;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobRecord;

/**
 * Tracks jobs that this owner ended until the store is known to have the final record.
 *
 * <p>The watch of the store may deliver an earlier state of such a job after its end, which must
 * not submit the job again. Acknowledgements to workers are deferred meanwhile, so that the workers
 * keep the results and a new owner finds them if this one fails before the end is stored.
 */
final class UnconfirmedJobEnds {
    private static final class JobEnd {
        private final JobRecord mRecord;
        private final Set<SendOrder> mDeferredAcknowledgements = new LinkedHashSet<>();

        JobEnd(JobRecord record) {
            mRecord = record;
        }
    }

    private final Map<JobId, JobEnd> mEndByJob = new HashMap<>();

    /** Adds a job that this owner ended. */
    void add(JobRecord record) {
        mEndByJob.put(record.spec().id(), new JobEnd(record));
    }

    boolean contains(JobId job) {
        return mEndByJob.containsKey(job);
    }

    /** Returns whether a record shows a state from before the end of its job. */
    boolean isOutdated(JobRecord observed) {
        JobEnd end = mEndByJob.get(observed.spec().id());
        return end != null
                && !observed.state().isFinal()
                && observed.fencingToken() <= end.mRecord.fencingToken();
    }

    /** Defers an acknowledgement; returns false if the end of its job is not pending. */
    boolean defer(SendOrder acknowledgement) {
        JobEnd end = mEndByJob.get(acknowledgement.order().job());
        if (end == null) {
            return false;
        }
        end.mDeferredAcknowledgements.add(acknowledgement);
        return true;
    }

    /**
     * Removes a job whose end is stored or was overruled by another record.
     *
     * @return the deferred acknowledgements
     */
    List<SendOrder> remove(JobId job) {
        JobEnd end = mEndByJob.remove(job);
        return end == null ? List.of() : List.copyOf(end.mDeferredAcknowledgements);
    }

    /** Drops all deferred acknowledgements, because only the placement owner may send them. */
    void dropAcknowledgements() {
        mEndByJob.values().forEach(end -> end.mDeferredAcknowledgements.clear());
    }
}
