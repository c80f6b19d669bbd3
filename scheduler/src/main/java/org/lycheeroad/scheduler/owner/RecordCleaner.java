package org.lycheeroad.scheduler.owner;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.CommitResult;
import org.lycheeroad.scheduler.port.MetadataStore.Condition;
import org.lycheeroad.scheduler.port.MetadataStore.Transaction;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.JobId;

/**
 * Removes what the store holds of jobs that ended long ago.
 *
 * <p>All keys of a job go in one commit, so that no later owner finds a job without the progress
 * that says that it has ended.
 */
final class RecordCleaner {
    /** Three removals a job beside the condition; the store takes 32 rows in a commit. */
    static final int MAX_JOBS_PER_COMMIT = 10;

    private final MetadataStore mStore;
    private final SerialExecutor mExecutor;
    private final Term mTerm;
    private final EventRecorder mEvents;
    private boolean mInFlight;

    RecordCleaner(MetadataStore store, SerialExecutor strand, Term term, EventRecorder events) {
        mStore = store;
        mExecutor = strand;
        mTerm = term;
        mEvents = events;
    }

    /** Removes the records of some of these jobs; the owner hears of it by its watch. */
    void removeRecords(List<JobId> expired) {
        if (mInFlight || expired.isEmpty() || !mTerm.isLeaseValid()) {
            return;
        }
        List<String> removals = new ArrayList<>();
        for (JobId job : expired.subList(0, Math.min(MAX_JOBS_PER_COMMIT, expired.size()))) {
            removals.add(StoreKeys.jobKey(job));
            removals.add(StoreKeys.cancellationKey(job));
            removals.add(StoreKeys.progressKey(job));
        }
        mInFlight = true;
        Condition owner = new Condition(StoreKeys.OWNER, mTerm.ownerRevision());
        mExecutor.whenComplete(
                mStore.commit(new Transaction(List.of(owner), List.of(), removals)),
                (result, e) -> {
                    mInFlight = false;
                    String outcome =
                            e != null
                                    ? "unknown"
                                    : result instanceof CommitResult.Committed ? "done" : "refused";
                    mEvents.record(
                            EventCode.RECORDS_REMOVED,
                            "",
                            "jobs=" + removals.size() / 3 + " outcome=" + outcome);
                });
    }
}
