package org.lycheeroad.scheduler.intake;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.admission.AdmissionRequest;
import org.lycheeroad.scheduler.HealthTrackingStore;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.load.LoadTracker;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.LoadSummary;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.ServiceLoad;
import org.lycheeroad.state.work.ServiceLoad.CommittedWork;
import org.lycheeroad.state.work.ServiceLoad.TeamLoad;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.transport.events.EventLog;

/**
 * Guards against refusals of jobs that may run, and against refusals by what a daemon does not know
 * while the owner changes, is cut off or the store is silent.
 */
class LoadGateTest {
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final TeamId TEAM = new TeamId("team");
    private static final Resources NEED = new Resources(1_000, 1_000, 1);

    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();
    private final SerialExecutor mExecutor = new SerialExecutor("test", mTimers);
    private final FakeStore mStore = new FakeStore();
    private final FakeClock mClock = new FakeClock();
    private Optional<LoadSummary> mOwnersSummary = Optional.of(overload(7));
    private OptionalLong mKnownEpoch = OptionalLong.of(7);
    private LoadGate mGate;

    @BeforeEach
    void setUp() {
        EventRecorder events =
                new EventRecorder(new EventLog(new EntryId("vm"), new HybridClock(), 16));
        LoadTracker load =
                new LoadTracker(
                        () -> CompletableFuture.completedFuture(mOwnersSummary),
                        () -> mKnownEpoch,
                        mClock);
        HealthTrackingStore store = new HealthTrackingStore(mStore, mExecutor, mClock, events);
        mGate = new LoadGate(load, new JobStore(store), events, new NodeMetrics());
        mExecutor.start();
    }

    @AfterEach
    void tearDown() {
        mExecutor.stop();
        mTimers.shutdownNow();
    }

    @Test
    void newJobIsRefusedUnderOverload() throws Exception {
        assertThat(check(1)).containsInstanceOf(ApiResponse.Overloaded.class);
    }

    @Test
    void repetitionOfAStoredJobIsNotRefused() throws Exception {
        mStore.mContent = Optional.of(new KeyValue("key", ByteString.EMPTY, 1, 0));
        assertThat(check(1)).isEmpty();
    }

    @Test
    void jobWhoseWriteMayStillBeAppliedIsNotRefused() throws Exception {
        mGate.onWrite(request(1).id());
        mGate.onOutcome(request(1), StoreOutcome.UNKNOWN);
        assertThat(check(1)).isEmpty();
        mGate.onWrite(request(2).id());
        mGate.onOutcome(request(2), StoreOutcome.REFUSED);
        assertThat(check(2)).isPresent();
    }

    @Test
    void nothingIsRefusedWhileTheStoreIsSilent() throws Exception {
        mStore.mSilent = true;
        assertThat(check(1)).isEmpty();
    }

    @Test
    void summaryCountsOnlyWhileItsOwnerIsTheKnownOne() throws Exception {
        assertThat(check(1)).isPresent();
        mKnownEpoch = OptionalLong.empty();
        assertThat(check(1)).isEmpty();
        mKnownEpoch = OptionalLong.of(8);
        assertThat(check(1)).isEmpty();
        mOwnersSummary = Optional.of(overload(8));
        mClock.mNowMs += 1_000;
        assertThat(check(1)).isPresent();
        // A late answer of the former owner must not replace the newer summary.
        mOwnersSummary = Optional.of(overload(7));
        mClock.mNowMs += 1_000;
        assertThat(check(1)).isPresent();
    }

    @Test
    void summaryOfAnOwnerThatNoLongerAnswersIsForgotten() throws Exception {
        assertThat(check(1)).isPresent();
        mOwnersSummary = Optional.empty();
        mClock.mNowMs += 3_000;
        assertThat(check(1)).isPresent();
        mClock.mNowMs += 1;
        assertThat(check(1)).isEmpty();
    }

    private Optional<ApiResponse> check(int job) throws Exception {
        return mGate.check(request(job)).get(5, TimeUnit.SECONDS).refusal();
    }

    private static AdmissionRequest request(int job) {
        QueueConfig queue =
                new QueueConfig(new QueueName("q"), "h", "/", SERVICE, 1, 3, 1, 1_000, false, null);
        StepPlan step = StepPlan.unconstrained(1, NEED, 1_000);
        JobPlan plan = new JobPlan("", List.of(step), 0, 0, 0);
        return new AdmissionRequest(
                new JobId(String.format("%016x", job)), TEAM, 0, queue, plan, 3_000);
    }

    private static LoadSummary overload(long epoch) {
        ServiceLoad load =
                new ServiceLoad(
                        SERVICE,
                        NEED,
                        List.of(),
                        List.of(new CommittedWork(0, 5_000, 0, 0, 90_000)),
                        List.of(new TeamLoad(TEAM, 1, 0)));
        return new LoadSummary(epoch, 1, 0, List.of(load));
    }

    private static final class FakeClock implements Clock {
        private long mNowMs = 1_000;

        @Override
        public long monotonicMs() {
            return mNowMs;
        }

        @Override
        public long wallMs() {
            return mNowMs;
        }
    }

    /** A store that can only be read. */
    private static final class FakeStore implements MetadataStore {
        private Optional<KeyValue> mContent = Optional.empty();
        private boolean mSilent;

        @Override
        public CompletableFuture<Optional<KeyValue>> read(String key) {
            return mSilent
                    ? new CompletableFuture<>()
                    : CompletableFuture.completedFuture(mContent);
        }

        @Override
        public CompletableFuture<Page> list(String prefix, String afterKey) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<WatchResponse> watch(
                String prefix, long afterRevision, long waitMs, long slackMs) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<CommitResult> commit(Transaction transaction) {
            throw new UnsupportedOperationException("nothing may be written before a refusal");
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMs) {
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
