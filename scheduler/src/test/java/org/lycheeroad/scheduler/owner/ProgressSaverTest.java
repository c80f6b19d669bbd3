package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.owner.ScriptedStore.PendingCommit;
import org.lycheeroad.scheduler.port.MetadataStore.CommitResult;
import org.lycheeroad.scheduler.port.MetadataStore.Condition;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.StoreException;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.WorkState;

class ProgressSaverTest {
    /** The most conditions and writes that the store accepts in one commit. */
    private static final int MAX_ROWS_PER_COMMIT = 32;

    private static final long OWNER_REVISION = 10;
    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final ScriptedStore mStore = new ScriptedStore();
    private final LinkedBlockingQueue<JobId> mSavedJobs = new LinkedBlockingQueue<>();
    private final AtomicBoolean mSuperseded = new AtomicBoolean();
    private ProgressSaver mSaver;

    @BeforeEach
    void setUp() {
        ManualClock clock = new ManualClock();
        Term term = new Term(1, OWNER_REVISION, 1, clock);
        term.extendLease(clock.monotonicMs() + 10_000, Term.wallClockOffsetMs(clock));
        mSaver =
                new ProgressSaver(
                        mStore,
                        mExecutor,
                        term,
                        new ProgressSaver.Listener() {
                            @Override
                            public void onSaved(UnsavedProgress saved) {
                                mSavedJobs.add(saved.job());
                            }

                            @Override
                            public void onSuperseded() {
                                mSuperseded.set(true);
                            }
                        });
        mExecutor.start();
    }

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    /**
     * Guards against a fault seen on fcvf trouble-3, seed 92603774: a commit above the store's
     * limit was retried forever.
     */
    @Test
    void commitStaysWithinTheStoresRowLimit() throws Exception {
        saveProgressOf(40);
        PendingCommit first = mStore.nextCommit();
        int rows = first.transaction().conditions().size() + first.transaction().puts().size();
        assertThat(rows).isLessThanOrEqualTo(MAX_ROWS_PER_COMMIT);
        first.result().complete(new CommitResult.Committed(20));
        assertThat(mStore.nextCommit().transaction().puts()).isNotEmpty();
    }

    /** A commit of an earlier owner, or a delayed one, must not overwrite newer progress. */
    @Test
    void commitRequiresOwnershipAndTheKnownRevision() throws Exception {
        saveProgressOf(1);
        PendingCommit first = mStore.nextCommit();
        assertThat(first.transaction().conditions())
                .containsExactly(
                        new Condition(StoreKeys.OWNER, OWNER_REVISION),
                        new Condition(StoreKeys.progressKey(jobId(0)), 0));
        first.result().complete(new CommitResult.Committed(20));
        assertThat(mSavedJobs.poll(5, TimeUnit.SECONDS)).isEqualTo(jobId(0));
        saveProgressOf(1);
        assertThat(mStore.nextCommit().transaction().conditions())
                .contains(new Condition(StoreKeys.progressKey(jobId(0)), 20));
    }

    /** A run must not start before the write of its record has been confirmed. */
    @Test
    void commitWithUnknownOutcomeIsRepeatedAtTheRevisionFromTheConflict() throws Exception {
        saveProgressOf(1);
        mStore.nextCommit()
                .result()
                .completeExceptionally(
                        new StoreException(StoreException.Kind.UNKNOWN, "lost", null));
        PendingCommit second = mStore.nextCommit();
        assertThat(mSavedJobs).isEmpty();
        Map<String, KeyValue> currentKeyValues = new HashMap<>();
        currentKeyValues.put(StoreKeys.OWNER, keyValueAt(StoreKeys.OWNER, OWNER_REVISION));
        String key = StoreKeys.progressKey(jobId(0));
        currentKeyValues.put(key, keyValueAt(key, 15));
        second.result().complete(new CommitResult.Conflict(currentKeyValues));
        PendingCommit third = mStore.nextCommit();
        assertThat(third.transaction().conditions()).contains(new Condition(key, 15));
        third.result().complete(new CommitResult.Committed(21));
        assertThat(mSavedJobs.poll(5, TimeUnit.SECONDS)).isEqualTo(jobId(0));
    }

    /** An owner that has been replaced must stop writing. */
    @Test
    void savingStopsWhenAnotherOwnerIsElected() throws Exception {
        saveProgressOf(1);
        Map<String, KeyValue> currentKeyValues = new HashMap<>();
        currentKeyValues.put(StoreKeys.OWNER, keyValueAt(StoreKeys.OWNER, OWNER_REVISION + 1));
        mStore.nextCommit().result().complete(new CommitResult.Conflict(currentKeyValues));
        for (int i = 0; i < 100 && !mSuperseded.get(); i++) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(mSuperseded).isTrue();
        assertThat(mStore.hasCommit()).isFalse();
    }

    private void saveProgressOf(int jobs) {
        List<UnsavedProgress> unsaved = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            unsaved.add(
                    new UnsavedProgress(
                            jobId(i), 1, new ProgressRecord(WorkState.QUEUED, List.of())));
        }
        mExecutor.execute(() -> mSaver.save(unsaved));
    }

    private static KeyValue keyValueAt(String key, long revision) {
        return new KeyValue(key, ByteString.EMPTY, revision, 0);
    }

    private static JobId jobId(int number) {
        return new JobId(String.format("%016x", number));
    }
}
