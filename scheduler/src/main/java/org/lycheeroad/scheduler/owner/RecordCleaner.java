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
 * Deletes the records of jobs that ended long ago from the store.
 *
 * <p>All records of a job are deleted in one commit, so that no later owner finds a job without the
 * progress that shows that it has ended.
 */
final class RecordCleaner {
    /**
     * Each job takes three deletes, next to one condition; the store accepts 32 rows per commit.
     */
    static final int MAX_JOBS_PER_COMMIT = 10;

    private final MetadataStore mStore;
    private final SerialExecutor mExecutor;
    private final Term mTerm;
    private final EventRecorder mEvents;
    private boolean mInFlight;

    RecordCleaner(MetadataStore store, SerialExecutor executor, Term term, EventRecorder events) {
        mStore = store;
        mExecutor = executor;
        mTerm = term;
        mEvents = events;
    }

    /** Deletes the records of the first of these jobs; the owner's watch reports the deletion. */
    void removeRecords(List<JobId> expired) {
        if (mInFlight || expired.isEmpty() || !mTerm.isLeaseValid()) {
            return;
        }
        List<String> deletes = new ArrayList<>();
        for (JobId job : expired.subList(0, Math.min(MAX_JOBS_PER_COMMIT, expired.size()))) {
            deletes.add(StoreKeys.jobKey(job));
            deletes.add(StoreKeys.cancellationKey(job));
            deletes.add(StoreKeys.progressKey(job));
        }
        mInFlight = true;
        Condition ownerCondition = new Condition(StoreKeys.OWNER, mTerm.ownerRevision());
        mExecutor.whenComplete(
                mStore.commit(new Transaction(List.of(ownerCondition), List.of(), deletes)),
                (result, e) -> {
                    mInFlight = false;
                    String outcome =
                            e != null
                                    ? "unknown"
                                    : result instanceof CommitResult.Committed ? "done" : "refused";
                    mEvents.record(
                            EventCode.RECORDS_REMOVED,
                            "",
                            "jobs=" + deletes.size() / 3 + " outcome=" + outcome);
                });
    }
}
