package org.lycheeroad.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.MetadataStore.WatchResponse;
import org.lycheeroad.scheduler.port.StoreException;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.transport.events.EventLog;

class HealthTrackingStoreTest {
    /** Several probe intervals; the calls to the silent store never end by themselves. */
    private static final long PROMPT_MS = 2_000;

    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final SilentStore mSilent = new SilentStore();
    private final HealthTrackingStore mStore =
            new HealthTrackingStore(
                    mSilent,
                    mExecutor,
                    Clock.system(),
                    new EventRecorder(new EventLog(new EntryId("vm"), new HybridClock(), 16)));

    @BeforeEach
    void setUp() {
        mExecutor.start();
    }

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    /**
     * Guards against callers that are refused for a second after a silent store has returned,
     * because the next probe waits until the last one has timed out.
     */
    @Test
    void probesDoNotWaitForAnswersToEarlierOnes() throws Exception {
        loseStore();
        nextOf(mSilent.mReads);
        returnStore();
    }

    /**
     * Guards against jobs and configurations that stay unnoticed for seconds after an outage,
     * because the watches that were sent during it are waited for until they time out.
     */
    @Test
    void watchesAreRepeatedWhenTheStoreReturns() throws Exception {
        CompletableFuture<WatchResponse> watch = mStore.watch("p/", 7, 1_500, 900);
        var lost = nextOf(mSilent.mWatches);
        loseStore();
        returnStore();
        var repeated = nextOf(mSilent.mWatches);
        lost.completeExceptionally(lostCall());
        assertThat(watch).isNotDone();
        WatchResponse response = new WatchResponse(List.of(), 8);
        repeated.complete(response);
        assertThat(watch).succeedsWithin(PROMPT_MS, TimeUnit.MILLISECONDS).isEqualTo(response);
    }

    /** Guards against a watch that waits for good because all its copies were lost. */
    @Test
    void watchFailsOnceAllCopiesHaveFailed() throws Exception {
        CompletableFuture<WatchResponse> watch = mStore.watch("p/", 7, 1_500, 900);
        loseStore();
        returnStore();
        var lost = nextOf(mSilent.mWatches);
        var repeated = nextOf(mSilent.mWatches);
        lost.completeExceptionally(lostCall());
        repeated.completeExceptionally(lostCall());
        assertThat(watch).failsWithin(PROMPT_MS, TimeUnit.MILLISECONDS);
    }

    /** Guards against refusals after an outage, when calls sent during the outage time out. */
    @Test
    void callsOfAnEndedOutageDoNotCount() throws Exception {
        CompletableFuture<?> late = mStore.grantLease(1_200);
        CompletableFuture<?> later = mStore.grantLease(1_200);
        loseStore();
        returnStore();
        mSilent.failLeases();
        assertThat(late).isCompletedExceptionally();
        assertThat(later).isCompletedExceptionally();
        assertThat(mStore.isUnavailable()).isFalse();
    }

    private void loseStore() throws InterruptedException {
        for (int i = 0; i < 2; i++) {
            mStore.read("k");
            nextOf(mSilent.mReads).completeExceptionally(lostCall());
        }
        assertThat(mStore.isUnavailable()).isTrue();
    }

    /** Answers a probe and waits until the answer has been handled. */
    private void returnStore() throws InterruptedException {
        nextOf(mSilent.mReads).complete(Optional.empty());
        for (int i = 0; i < PROMPT_MS && mStore.isUnavailable(); i++) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(mStore.isUnavailable()).isFalse();
    }

    private static <T> CompletableFuture<T> nextOf(BlockingQueue<CompletableFuture<T>> calls)
            throws InterruptedException {
        var call = calls.poll(PROMPT_MS, TimeUnit.MILLISECONDS);
        assertThat(call).as("a call within %d ms", PROMPT_MS).isNotNull();
        return call;
    }

    private static StoreException lostCall() {
        return new StoreException(StoreException.Kind.UNKNOWN, "no answer", null);
    }

    /** A store that answers only when the test does. */
    private static final class SilentStore implements MetadataStore {
        private final BlockingQueue<CompletableFuture<Optional<KeyValue>>> mReads =
                new LinkedBlockingQueue<>();
        private final BlockingQueue<CompletableFuture<WatchResponse>> mWatches =
                new LinkedBlockingQueue<>();
        private final CompletableFuture<Long> mLeases = new CompletableFuture<>();

        private void failLeases() {
            mLeases.completeExceptionally(lostCall());
        }

        @Override
        public CompletableFuture<Optional<KeyValue>> read(String key) {
            CompletableFuture<Optional<KeyValue>> call = new CompletableFuture<>();
            mReads.add(call);
            return call;
        }

        @Override
        public CompletableFuture<WatchResponse> watch(
                String prefix, long afterRevision, long waitMs, long slackMs) {
            CompletableFuture<WatchResponse> call = new CompletableFuture<>();
            mWatches.add(call);
            return call;
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMs) {
            return mLeases;
        }

        @Override
        public CompletableFuture<Page> list(String prefix, String afterKey) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<CommitResult> commit(Transaction transaction) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Boolean> revokeLease(long leaseId) {
            throw new UnsupportedOperationException();
        }
    }
}
