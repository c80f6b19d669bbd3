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
import org.lycheeroad.coordination.jobs.JobScheduler.Unsaved;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.owner.ScriptedStore.Pending;
import org.lycheeroad.scheduler.port.MetadataStore.CommitResult;
import org.lycheeroad.scheduler.port.MetadataStore.Condition;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.StoreException;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.WorkState;

class ProgressSaverTest {
    /** The most rows that the store takes in one commit. */
    private static final int STORE_ROWS = 32;

    private static final long OWNER_REVISION = 10;
    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mStrand = new SerialExecutor("test", mTimers);
    private final ScriptedStore mStore = new ScriptedStore();
    private final LinkedBlockingQueue<JobId> mSaved = new LinkedBlockingQueue<>();
    private final AtomicBoolean mSuperseded = new AtomicBoolean();
    private ProgressSaver mSaver;

    @BeforeEach
    void start() {
        ManualClock clock = new ManualClock();
        Term term = new Term(1, OWNER_REVISION, 1, clock);
        term.extend(clock.monotonicMs() + 10_000);
        mSaver =
                new ProgressSaver(
                        mStore,
                        mStrand,
                        term,
                        new ProgressSaver.Listener() {
                            @Override
                            public void onSaved(Unsaved saved) {
                                mSaved.add(saved.job());
                            }

                            @Override
                            public void onSuperseded() {
                                mSuperseded.set(true);
                            }
                        });
        mStrand.start();
    }

    @AfterEach
    void stop() {
        mStrand.stop();
        mTimers.shutdownNow();
    }

    /** fcvf trouble-3, seed 92603774: a commit above the store's limit was repeated for good. */
    @Test
    void commitStaysWithinTheRowsThatTheStoreTakes() throws Exception {
        save(40);
        Pending first = mStore.nextCommit();
        int rows = first.commit().conditions().size() + first.commit().puts().size();
        assertThat(rows).isLessThanOrEqualTo(STORE_ROWS);
        first.answer().complete(new CommitResult.Committed(20));
        assertThat(mStore.nextCommit().commit().puts()).isNotEmpty();
    }

    /** A commit of an old owner, or one that is carried out late, must not overwrite progress. */
    @Test
    void commitRequiresTheOwnerAndTheKnownRevision() throws Exception {
        save(1);
        Pending first = mStore.nextCommit();
        assertThat(first.commit().conditions())
                .containsExactly(
                        new Condition(StoreKeys.OWNER, OWNER_REVISION),
                        new Condition(StoreKeys.progressKey(job(0)), 0));
        first.answer().complete(new CommitResult.Committed(20));
        assertThat(mSaved.poll(5, TimeUnit.SECONDS)).isEqualTo(job(0));
        save(1);
        assertThat(mStore.nextCommit().commit().conditions())
                .contains(new Condition(StoreKeys.progressKey(job(0)), 20));
    }

    /** A run must not start on a record whose write has no answer. */
    @Test
    void unknownOutcomeIsSettledByTheConflict() throws Exception {
        save(1);
        mStore.nextCommit()
                .answer()
                .completeExceptionally(
                        new StoreException(StoreException.Kind.UNKNOWN, "lost", null));
        Pending second = mStore.nextCommit();
        assertThat(mSaved).isEmpty();
        Map<String, KeyValue> items = new HashMap<>();
        items.put(StoreKeys.OWNER, item(StoreKeys.OWNER, OWNER_REVISION));
        String key = StoreKeys.progressKey(job(0));
        items.put(key, item(key, 15));
        second.answer().complete(new CommitResult.Conflict(items));
        Pending third = mStore.nextCommit();
        assertThat(third.commit().conditions()).contains(new Condition(key, 15));
        third.answer().complete(new CommitResult.Committed(21));
        assertThat(mSaved.poll(5, TimeUnit.SECONDS)).isEqualTo(job(0));
    }

    /** An owner that has been replaced must stop. */
    @Test
    void newerOwnerEndsTheTerm() throws Exception {
        save(1);
        Map<String, KeyValue> items = new HashMap<>();
        items.put(StoreKeys.OWNER, item(StoreKeys.OWNER, OWNER_REVISION + 1));
        mStore.nextCommit().answer().complete(new CommitResult.Conflict(items));
        for (int i = 0; i < 100 && !mSuperseded.get(); i++) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(mSuperseded).isTrue();
        assertThat(mStore.hasCommit()).isFalse();
    }

    private void save(int jobs) {
        List<Unsaved> unsaved = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            unsaved.add(new Unsaved(job(i), 1, new ProgressRecord(WorkState.QUEUED, List.of())));
        }
        mStrand.execute(() -> mSaver.save(unsaved));
    }

    private static KeyValue item(String key, long revision) {
        return new KeyValue(key, ByteString.EMPTY, revision, 0);
    }

    private static JobId job(int number) {
        return new JobId(String.format("%016x", number));
    }
}
