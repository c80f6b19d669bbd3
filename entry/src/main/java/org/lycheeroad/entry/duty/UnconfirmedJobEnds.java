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
 * Remembers the jobs that ended here until the store is known to have their end.
 *
 * <p>The watch of the store may deliver an earlier state of such a job after its end, which must
 * not submit the job again. The workers keep the results meanwhile, so that a new owner finds them
 * if this one dies before the end is stored.
 */
final class UnconfirmedJobEnds {
    private static final class Entry {
        private final JobRecord mRecord;
        private final Set<SendOrder> mDeferredAcknowledgements = new LinkedHashSet<>();

        Entry(JobRecord record) {
            mRecord = record;
        }
    }

    private final Map<JobId, Entry> mEntryByJob = new HashMap<>();

    /** Adds a job that ended here. */
    void add(JobRecord record) {
        mEntryByJob.put(record.spec().id(), new Entry(record));
    }

    boolean contains(JobId job) {
        return mEntryByJob.containsKey(job);
    }

    /** Returns whether the record shows a job as it was before its end. */
    boolean isOutdated(JobRecord seen) {
        Entry ended = mEntryByJob.get(seen.spec().id());
        return ended != null
                && !seen.state().isFinal()
                && seen.fencingToken() <= ended.mRecord.fencingToken();
    }

    /** Keeps an acknowledgement back; returns false if the job's end is stored. */
    boolean defer(SendOrder acknowledgement) {
        Entry ended = mEntryByJob.get(acknowledgement.order().job());
        if (ended == null) {
            return false;
        }
        ended.mDeferredAcknowledgements.add(acknowledgement);
        return true;
    }

    /** Forgets a job whose end is stored or was overruled; returns its acknowledgements. */
    List<SendOrder> remove(JobId job) {
        Entry ended = mEntryByJob.remove(job);
        return ended == null ? List.of() : List.copyOf(ended.mDeferredAcknowledgements);
    }

    /** Drops all acknowledgements, since only the placement owner may send them. */
    void dropAcknowledgements() {
        mEntryByJob.values().forEach(ended -> ended.mDeferredAcknowledgements.clear());
    }
}
