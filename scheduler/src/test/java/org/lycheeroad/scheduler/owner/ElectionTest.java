package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.port.MetadataStore.Change;
import org.lycheeroad.scheduler.port.MetadataStore.CommitResult;
import org.lycheeroad.scheduler.port.MetadataStore.WatchResponse;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.events.EventLog;

class ElectionTest {
    private static final long TIMEOUT_MS = 5_000;

    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final WatchedStore mStore = new WatchedStore();
    private final BlockingQueue<Term> mElected = new LinkedBlockingQueue<>();
    private final BlockingQueue<Term> mEnded = new LinkedBlockingQueue<>();

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    /**
     * Guards against a VM that never campaigns again: its key was deleted during its term, and a
     * conflict of a commit ended the term before the renewal of the lease did.
     */
    @Test
    void vmCampaignsAgainAfterItsKeyWasDeletedDuringItsTerm() throws Exception {
        Election election = startElection();
        mStore.nextCommit().result().complete(new CommitResult.Committed(2));
        Term first = mElected.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertThat(first).isNotNull();
        mStore.mWatch.complete(new WatchResponse(List.of(new Change(StoreKeys.OWNER, null)), 3));
        assertThat(mStore.mWatchedAgain.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        election.onSuperseded(first);
        assertThat(mEnded.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isSameAs(first);
        mStore.nextCommit().result().complete(new CommitResult.Committed(4));
        assertThat(mElected.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isNotNull();
    }

    private Election startElection() {
        NodeSettings settings =
                new NodeSettings(
                        new EntryId("vm"),
                        new RegionId("region"),
                        new FailureDomainId("domain"),
                        new HostPort("127.0.0.1", 1),
                        List.of(),
                        6_000,
                        2_700,
                        3,
                        120_000,
                        6_000,
                        1_000,
                        0,
                        false,
                        0);
        Election election =
                new Election(
                        mStore,
                        mExecutor,
                        settings,
                        new ManualClock(),
                        new EventRecorder(new EventLog(new EntryId("vm"), new HybridClock(), 16)),
                        new Election.Listener() {
                            @Override
                            public void onElected(Term term) {
                                mElected.add(term);
                            }

                            @Override
                            public void onTermEnded(Term term) {
                                mEnded.add(term);
                            }
                        });
        mExecutor.start();
        election.start();
        return election;
    }

    /** A store without an owner key, of which one watch can be answered. */
    private static final class WatchedStore extends ScriptedStore {
        private final CompletableFuture<WatchResponse> mWatch = new CompletableFuture<>();
        private final CountDownLatch mWatchedAgain = new CountDownLatch(1);

        @Override
        public CompletableFuture<WatchResponse> watch(
                String prefix, long afterRevision, long waitMs, long slackMs) {
            if (afterRevision == 1) {
                return mWatch;
            }
            mWatchedAgain.countDown();
            return new CompletableFuture<>();
        }
    }
}
