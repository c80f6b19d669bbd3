package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.owner.ScriptedStore.PendingCommit;
import org.lycheeroad.scheduler.port.MetadataStore.CommitResult;
import org.lycheeroad.scheduler.port.MetadataStore.Condition;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.transport.events.EventLog;

class RecordCleanerTest {
    /** The most conditions and deletes that the store accepts in one commit. */
    private static final int MAX_ROWS_PER_COMMIT = 32;

    private static final long OWNER_REVISION = 10;
    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final ScriptedStore mStore = new ScriptedStore();
    private final ManualClock mClock = new ManualClock();
    private Term mTerm;
    private RecordCleaner mCleaner;

    @BeforeEach
    void setUp() {
        mTerm = new Term(1, OWNER_REVISION, 1, mClock);
        mTerm.extendLease(mClock.monotonicMs() + 10_000, Term.wallClockOffsetMs(mClock));
        EventRecorder events =
                new EventRecorder(new EventLog(new EntryId("vm"), new HybridClock(), 16));
        mCleaner = new RecordCleaner(mStore, mExecutor, mTerm, events);
        mExecutor.start();
    }

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    /** A later owner would run a job again if it found the job without its progress. */
    @Test
    void removesAllRecordsOfAJobInOneCommitThatRequiresOwnership() throws Exception {
        removeRecords(jobIds(40));
        PendingCommit pending = mStore.nextCommit();
        List<String> deletes = pending.transaction().deletes();
        assertThat(pending.transaction().conditions())
                .containsExactly(new Condition(StoreKeys.OWNER, OWNER_REVISION));
        assertThat(deletes.size() + 1).isLessThanOrEqualTo(MAX_ROWS_PER_COMMIT);
        for (String key : deletes) {
            JobId job = StoreKeys.jobIdOf(key);
            assertThat(deletes)
                    .contains(
                            StoreKeys.jobKey(job),
                            StoreKeys.cancellationKey(job),
                            StoreKeys.progressKey(job));
        }
    }

    /** Commits that pile up while the store is slow would exhaust its rate limit. */
    @Test
    void sendsNoCommitWhileOneIsInFlight() throws Exception {
        removeRecords(jobIds(1));
        PendingCommit pending = mStore.nextCommit();
        removeRecords(jobIds(1));
        assertThat(mStore.hasCommit()).isFalse();
        pending.result().complete(new CommitResult.Committed(20));
        removeRecords(jobIds(1));
        mStore.nextCommit();
    }

    /** A VM that is no longer owner must not delete records. */
    @Test
    void removesNothingAfterTheTermEnds() throws Exception {
        mTerm.end();
        removeRecords(jobIds(1));
        assertThat(mStore.hasCommit()).isFalse();
    }

    private void removeRecords(List<JobId> jobs) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mExecutor.execute(
                () -> {
                    mCleaner.removeRecords(jobs);
                    done.complete(null);
                });
        done.get(5, TimeUnit.SECONDS);
    }

    private static List<JobId> jobIds(int count) {
        List<JobId> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            jobs.add(new JobId("j" + i));
        }
        return jobs;
    }
}
