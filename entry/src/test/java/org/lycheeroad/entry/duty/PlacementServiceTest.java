package org.lycheeroad.entry.duty;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.placement.PlacementAction;
import org.lycheeroad.coordination.placement.PlacementCore;
import org.lycheeroad.coordination.placement.PlacementEvent;
import org.lycheeroad.entry.FakeControlPlane;
import org.lycheeroad.entry.control.ControlListener;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.WorkerInfo;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.worker.WorkerClient;

class PlacementServiceTest {
    private static final long FENCING_TOKEN = 7;
    private static final RegionId REGION = new RegionId("mazowsze");
    private static final JobId JOB = new JobId("j-1");
    private static final WorkerId WORKER = new WorkerId("w-1");
    private static final JobSpec SPEC =
            new JobSpec(
                    JOB,
                    new TeamId("montaz"),
                    new KindId("render"),
                    REGION,
                    Shape.parse("1x1@any"),
                    false,
                    0,
                    "");

    private final ScriptedCore mCore = new ScriptedCore();
    private final FakeControlPlane mControlPlane = new FakeControlPlane();
    private final MultiThreadIoEventLoopGroup mEventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLog mEvents = new EventLog(new EntryId("e-1"), new HybridClock(), 1_000);
    private final PlacementService mService =
            new PlacementService(
                    new EntryId("e-1"),
                    REGION,
                    mCore,
                    mControlPlane,
                    new WorkerClient(new HttpClient(mEventLoopGroup, 100, 1_000)),
                    mEvents,
                    new EntryMetrics());

    /** Records submissions and responds to cancellations with the configured actions. */
    private static final class ScriptedCore implements PlacementCore {
        private final List<JobSpec> mSubmittedSpecs = new ArrayList<>();
        private List<PlacementAction> mCancelActions = List.of();
        private CountDownLatch mTableHandled = new CountDownLatch(1);

        @Override
        public synchronized List<PlacementAction> handle(PlacementEvent event, long nowMillis) {
            if (event instanceof PlacementEvent.JobSubmitted submitted) {
                mSubmittedSpecs.add(submitted.spec());
            } else if (event instanceof PlacementEvent.JobCancelled) {
                return mCancelActions;
            } else if (event instanceof PlacementEvent.TableChanged) {
                mTableHandled.countDown();
            }
            return List.of();
        }

        synchronized void setCancelActions(List<PlacementAction> actions) {
            mCancelActions = actions;
        }

        synchronized CountDownLatch expectTableEvent() {
            mTableHandled = new CountDownLatch(1);
            return mTableHandled;
        }

        synchronized List<JobSpec> submittedSpecs() {
            return List.copyOf(mSubmittedSpecs);
        }
    }

    @BeforeEach
    void start() {
        mService.start();
        mService.onWorkersChanged(
                List.of(
                        new WorkerInfo(
                                WORKER,
                                REGION,
                                new FailureDomainId("warszawa-a"),
                                new RackId("r-1"),
                                8,
                                new HostPort("127.0.0.1", 1))));
        mService.onPlacementRoleGained(FENCING_TOKEN);
    }

    @AfterEach
    void stop() {
        mService.stop();
        mEventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Nested
    class WithoutRole {
        /** Guards against ending an urgent job instead of retrying it while the role moves. */
        @Test
        void urgentJobIsRejectedAsRetryable() throws Exception {
            mService.onPlacementRoleLost();
            CompletableFuture<JobRecord> result = new CompletableFuture<>();
            mService.onUrgentSubmit(SPEC, result);
            JobRecord record = result.get(5, TimeUnit.SECONDS);
            assertThat(record.state()).isEqualTo(JobState.NOT_RUN);
            assertThat(record.reason()).isEqualTo(ControlListener.NOT_PLACEMENT_OWNER);
        }

        /** Guards against a peer that waits for the result of a cancellation until its timeout. */
        @Test
        void cancellationIsRejected() throws Exception {
            mService.onPlacementRoleLost();
            CompletableFuture<JobRecord> result = new CompletableFuture<>();
            mService.onCancel(JOB, result);
            assertThat(result.get(5, TimeUnit.SECONDS).reason())
                    .isEqualTo(ControlListener.NOT_PLACEMENT_OWNER);
        }
    }

    @Nested
    class EndedJobs {
        /**
         * Guards against running a job twice because the watch delivers stale states after its end.
         */
        @Test
        void staleStateDoesNotResubmitJob() throws Exception {
            mService.onJobChanged(storedRecord(JobState.QUEUED));
            cancelEndingWith(JobState.DONE);

            mService.onJobChanged(storedRecord(JobState.STARTING));
            mService.onJobChanged(storedRecord(JobState.RUNNING));

            awaitQueuedMessages();
            assertThat(mCore.submittedSpecs()).containsExactly(SPEC);
        }

        /** Guards against losing a job whose end was overruled by a newer owner in the store. */
        @Test
        void recordOfNewerOwnerIsResubmittedAfterRegainingRole() throws Exception {
            mService.onJobChanged(storedRecord(JobState.QUEUED));
            cancelEndingWith(JobState.DONE);
            mService.onPlacementRoleLost();

            mService.onJobChanged(
                    new JobRecord(SPEC, JobState.RUNNING, "", FENCING_TOKEN + 1, "a"));
            mService.onPlacementRoleGained(FENCING_TOKEN + 2);

            awaitQueuedMessages();
            assertThat(mCore.submittedSpecs()).containsExactly(SPEC, SPEC);
        }

        /** Guards against running a job again because its owner failed before storing the end. */
        @Test
        void acknowledgementIsDeferredUntilEndIsStored() throws Exception {
            mService.onJobChanged(storedRecord(JobState.QUEUED));
            mCore.setCancelActions(List.of(jobChanged(JobState.DONE), acknowledgement()));
            mService.onCancel(JOB, new CompletableFuture<>());
            awaitQueuedMessages();
            assertThat(sentOrders()).isEmpty();

            mService.onJobChanged(storedRecord(JobState.DONE));

            awaitQueuedMessages();
            assertThat(sentOrders()).singleElement().asString().endsWith("ACK member 0 to w-1");
        }
    }

    @Nested
    class Cancellation {
        /** Guards against reporting "not run" for a job that the next owner would still start. */
        @Test
        void isAnsweredOnceStored() throws Exception {
            mService.onJobChanged(storedRecord(JobState.QUEUED));
            CompletableFuture<JobRecord> result = cancelEndingWith(JobState.NOT_RUN);

            awaitQueuedMessages();
            assertThatThrownBy(() -> result.get(200, TimeUnit.MILLISECONDS))
                    .isInstanceOf(TimeoutException.class);

            mService.onJobChanged(storedRecord(JobState.NOT_RUN));

            assertThat(result.get(1, TimeUnit.SECONDS).state()).isEqualTo(JobState.NOT_RUN);
        }

        /** Guards against waiting for the store although no other entry can start the job. */
        @Test
        void isAnsweredImmediatelyForUnstoredJob() throws Exception {
            CompletableFuture<JobRecord> submission = new CompletableFuture<>();
            mService.onUrgentSubmit(SPEC, submission);

            CompletableFuture<JobRecord> result = cancelEndingWith(JobState.NOT_RUN);

            assertThat(result.get(1, TimeUnit.SECONDS).state()).isEqualTo(JobState.NOT_RUN);
            assertThat(submission.get(1, TimeUnit.SECONDS).state()).isEqualTo(JobState.NOT_RUN);
        }
    }

    /** Cancels the job and makes the core end it in a given state. */
    private CompletableFuture<JobRecord> cancelEndingWith(JobState state) {
        CompletableFuture<JobRecord> result = new CompletableFuture<>();
        mCore.setCancelActions(List.of(jobChanged(state)));
        mService.onCancel(JOB, result);
        return result;
    }

    /** Waits until the service has handled all messages enqueued before this call. */
    private void awaitQueuedMessages() throws InterruptedException {
        CountDownLatch tableHandled = mCore.expectTableEvent();
        mService.onTableChanged(mControlPlane.currentTable().orElseThrow());
        assertThat(tableHandled.await(2, TimeUnit.SECONDS)).isTrue();
    }

    private List<String> sentOrders() {
        return mEvents
                .page(0, event -> event.number() == EventCode.ORDER_SENT.number())
                .events()
                .stream()
                .map(event -> event.text())
                .toList();
    }

    private static PlacementAction jobChanged(JobState state) {
        return new PlacementAction.JobChanged(JOB, state, "");
    }

    private static PlacementAction acknowledgement() {
        return new PlacementAction.SendOrder(
                WORKER, new Order(OrderKind.ACK, JOB, 0, 1, List.of(0), null, 0));
    }

    private static JobRecord storedRecord(JobState state) {
        return new JobRecord(SPEC, state, "", FENCING_TOKEN, "a");
    }
}
