package org.lycheeroad.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.routing.ClaimResult;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.peer.NettyPeerTransport;

/** Tests several entries in one process with loopback connections and an in-memory store. */
final class StoreControlPlaneTest {
    private static final RegionId REGION = new RegionId("mazowsze");
    private static final String TABLE_HEADER =
            "team,work,kind,region,weight,limit,guarantee,deadline_ms\n";
    private static final String TABLE_CSV =
            TABLE_HEADER + "montaz,request,layout,mazowsze,1,80,,500\n";

    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(20_000 + (int) (ProcessHandle.current().pid() % 1_000) * 10);

    private final EventLoopGroup mEventLoopGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final FakeStore mStore = new FakeStore();
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<HostPort> mPeers = new ArrayList<>();

    @AfterEach
    void stopAll() {
        mEntries.forEach(Entry::stop);
        mStore.close();
        mEventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** An entry and the notifications that its listener received. */
    private final class Entry implements ControlListener {
        private final FakeStore.Client mClient = mStore.newClient();
        private final StoreControlPlane mPlane;
        private final List<Long> mTableVersions = new CopyOnWriteArrayList<>();
        private final List<Long> mGainedTokens = new CopyOnWriteArrayList<>();
        private final Map<LimitKey, Double> mShares = new ConcurrentHashMap<>();
        private final List<JobState> mJobStates = new CopyOnWriteArrayList<>();
        private final List<EventCode> mEvents = new CopyOnWriteArrayList<>();
        private volatile long mHeldToken;
        private boolean mStopped;

        Entry(int index) {
            ControlSettings settings =
                    new ControlSettings(
                            new EntryId("e" + index),
                            REGION,
                            new FailureDomainId("warszawa-a"),
                            mPeers.get(index),
                            mPeers,
                            new HostPort("127.0.0.1", 1),
                            mPeers.size(),
                            500_000,
                            System.nanoTime(),
                            List.of(REGION));
            mPlane =
                    new StoreControlPlane(
                            settings,
                            mEventLoopGroup,
                            new HybridClock(),
                            mClient,
                            new NettyPeerTransport(settings.peerAddress(), mEventLoopGroup));
            mPlane.addListener(this);
            mPlane.start();
            mEntries.add(this);
        }

        @Override
        public void onTableChanged(OperatorTable table) {
            mTableVersions.add(table.version());
        }

        @Override
        public void onEvent(EventCode code, String text) {
            mEvents.add(code);
        }

        @Override
        public void onPlacementRoleGained(long token) {
            mGainedTokens.add(token);
            mHeldToken = token;
        }

        @Override
        public void onPlacementRoleLost() {
            mHeldToken = 0;
        }

        @Override
        public void onRateShareChanged(LimitKey key, double perSecond) {
            mShares.put(key, perSecond);
        }

        @Override
        public void onJobChanged(JobRecord record) {
            mJobStates.add(record.state());
        }

        @Override
        public void onUrgentSubmit(JobSpec spec, CompletableFuture<JobRecord> result) {
            result.complete(new JobRecord(spec, JobState.RUNNING, "", mHeldToken, "a"));
        }

        void stop() {
            if (!mStopped) {
                mStopped = true;
                mPlane.stop();
            }
        }

        SaveTableResult saveTable(String csv, long expectedVersion) throws Exception {
            return mPlane.saveTable(csv, expectedVersion).get(10, TimeUnit.SECONDS);
        }
    }

    private List<Entry> startEntries(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            mPeers.add(new HostPort("127.0.0.1", freePort()));
        }
        for (int i = 0; i < count; i++) {
            new Entry(i);
        }
        return mEntries;
    }

    /** Returns a port below the ephemeral range, so that no outgoing connection takes it. */
    private static int freePort() throws IOException {
        while (true) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // The port is in use; try the next one.
            }
        }
    }

    private static void await(long seconds, BooleanSupplier condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
            Thread.sleep(10);
        }
        assertThat(condition.getAsBoolean()).as("within " + seconds + " s").isTrue();
    }

    private Entry awaitOwner() throws Exception {
        await(5, () -> mEntries.stream().filter(entry -> entry.mHeldToken != 0).count() == 1);
        return mEntries.stream().filter(entry -> entry.mHeldToken != 0).findFirst().orElseThrow();
    }

    private static JobSpec urgentJobSpec(String id) {
        return new JobSpec(
                new JobId(id),
                new TeamId("montaz"),
                new KindId("render"),
                REGION,
                Shape.parse("1x1@any"),
                true,
                1_000,
                "{}");
    }

    @Nested
    final class Tables {
        /** Guards against entries that miss a version or apply an older one. */
        @Test
        void tableVersionsReachAllEntriesInOrder() throws Exception {
            List<Entry> entries = startEntries(3);
            assertThat(entries.get(0).saveTable(TABLE_CSV, 0).status())
                    .isEqualTo(SaveTableResult.Status.ACCEPTED);
            await(4, () -> entries.stream().allMatch(entry -> entry.mPlane.isReady()));
            assertThat(entries.get(1).saveTable(TABLE_CSV.replace("80", "60"), 1).version())
                    .isEqualTo(2);
            await(
                    4,
                    () ->
                            entries.stream()
                                    .allMatch(
                                            entry -> entry.mTableVersions.equals(List.of(1L, 2L))));
        }

        /** Guards against a save that overwrites a version that the operator has not seen. */
        @Test
        void concurrentSaveReportsDifferingCells() throws Exception {
            List<Entry> entries = startEntries(2);
            entries.get(0).saveTable(TABLE_CSV, 0);
            await(4, () -> entries.stream().allMatch(entry -> entry.mPlane.isReady()));
            entries.get(0).saveTable(TABLE_CSV.replace("80", "60"), 1);
            SaveTableResult second = entries.get(1).saveTable(TABLE_CSV.replace("80", "70"), 1);
            assertThat(second.status()).isEqualTo(SaveTableResult.Status.CONFLICT);
            assertThat(second.problems()).hasSize(1);
            assertThat(second.problems().get(0).toString()).contains("limit", "70", "60");
        }

        /** Guards against rejecting a save that took effect and accepting one that did not. */
        @Test
        void saveIsRetriedUntilLostAnswerIsResolved() throws Exception {
            Entry entry = startEntries(1).get(0);
            entry.mClient.setLosesWriteResponses(true);
            CompletableFuture<SaveTableResult> save = entry.mPlane.saveTable(TABLE_CSV, 0);
            Thread.sleep(300);
            assertThat(save).isNotDone();
            entry.mClient.setLosesWriteResponses(false);
            assertThat(save.get(5, TimeUnit.SECONDS).status())
                    .isEqualTo(SaveTableResult.Status.ACCEPTED);
            assertThat(entry.mPlane.currentTable().orElseThrow().version()).isEqualTo(1);
        }

        /** Guards against rejecting a save although the store recovers within the retry period. */
        @Test
        void saveIsRetriedWhileStoreIsBrieflyUnavailable() throws Exception {
            Entry entry = startEntries(1).get(0);
            mStore.setUnavailable(true);
            CompletableFuture<SaveTableResult> save = entry.mPlane.saveTable(TABLE_CSV, 0);
            Thread.sleep(500);
            mStore.setUnavailable(false);
            assertThat(save.get(5, TimeUnit.SECONDS).status())
                    .isEqualTo(SaveTableResult.Status.ACCEPTED);
        }

        /**
         * Guards against rejecting a save although the store serves, because the read before the
         * write took all of its time.
         */
        @Test
        void writeIsRetriedAlthoughTheReadTookLong() throws Exception {
            Entry entry = startEntries(1).get(0);
            entry.mClient.rejectTableWrites(1);
            mStore.stallFor(2_300);
            assertThat(entry.saveTable(TABLE_CSV, 0).status())
                    .isEqualTo(SaveTableResult.Status.ACCEPTED);
        }

        /**
         * Guards against an entry that becomes ready without a table or with an old one at startup.
         */
        @Test
        void entryStartedDuringStoreOutageFetchesTableFromPeers() throws Exception {
            List<Entry> entries = startEntries(2);
            entries.get(0).saveTable(TABLE_CSV, 0);
            await(4, () -> entries.get(1).mPlane.isReady());
            entries.get(1).stop();
            mStore.setUnavailable(true);
            Entry restarted = new Entry(1);
            restarted.mClient.setDisconnected(true);
            assertThat(restarted.mPlane.isReady()).isFalse();
            await(6, () -> restarted.mPlane.isReady());
            assertThat(restarted.mTableVersions).containsExactly(1L);
            assertThat(restarted.saveTable(TABLE_CSV, 1).status())
                    .isEqualTo(SaveTableResult.Status.UNAVAILABLE);
        }
    }

    @Nested
    final class Roles {
        /** Guards against a long period without an owner when the owner shuts down. */
        @Test
        void stoppingOwnerHandsOverItsRole() throws Exception {
            startEntries(3);
            Entry firstOwner = awaitOwner();
            long token = firstOwner.mHeldToken;
            Thread.sleep(1_000);
            long startNanos = System.nanoTime();
            firstOwner.stop();
            mEntries.remove(firstOwner);
            Entry nextOwner = awaitOwner();
            long handoverMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertThat(nextOwner.mHeldToken).isGreaterThan(token);
            assertThat(handoverMillis).isLessThan(1_500);
        }

        /** Guards against a region without an owner during a store outage. */
        @Test
        void roleMovesDuringStoreOutage() throws Exception {
            startEntries(3);
            Entry firstOwner = awaitOwner();
            long token = firstOwner.mHeldToken;
            Thread.sleep(4_500);
            mStore.setUnavailable(true);
            Thread.sleep(2_000);
            assertThat(firstOwner.mHeldToken)
                    .as("the owner keeps its role without the store")
                    .isEqualTo(token);
            firstOwner.stop();
            mEntries.remove(firstOwner);
            Entry nextOwner = awaitOwner();
            assertThat(nextOwner.mHeldToken).isGreaterThan(token);
            mStore.setUnavailable(false);
            String key = StoreKeys.roleTokenKey(StoreKeys.placementRoleName(REGION));
            long tokenDuringOutage = nextOwner.mHeldToken;
            await(5, () -> Long.parseLong(mStore.readKey(key).value()) >= tokenDuringOutage);
            assertThat(nextOwner.mHeldToken).isEqualTo(tokenDuringOutage);
        }
    }

    @Nested
    final class JobsAndClaims {
        /** Guards against reporting a job as unknown right after its creation was confirmed. */
        @Test
        void createdJobIsReadableImmediately() throws Exception {
            StoreControlPlane plane = startEntries(1).get(0).mPlane;
            for (int i = 0; i < 20; i++) {
                plane.createJob(urgentJobSpec("j" + i)).get();
                assertThat(plane.findJob(new JobId("j" + i))).isPresent();
            }
        }

        /** Guards against requests that run twice and jobs that are stored twice. */
        @Test
        void claimsAndJobsAreCreatedOnlyOnce() throws Exception {
            List<Entry> entries = startEntries(2);
            StoreControlPlane planeA = entries.get(0).mPlane;
            StoreControlPlane planeB = entries.get(1).mPlane;
            assertThat(planeA.claim("montaz", "k", "1").get()).isEqualTo(ClaimResult.GRANTED);
            assertThat(planeB.claim("montaz", "k", "2").get())
                    .isEqualTo(ClaimResult.ALREADY_CLAIMED);
            assertThat(planeA.createJob(urgentJobSpec("j")).get().status())
                    .isEqualTo(CreateJobResult.Status.CREATED);
            assertThat(planeB.createJob(urgentJobSpec("j")).get().status())
                    .isEqualTo(CreateJobResult.Status.EXISTS);
            await(4, () -> planeB.findJob(new JobId("j")).isPresent());
            planeA.updateJob(new JobRecord(urgentJobSpec("j"), JobState.RUNNING, "", 4, ""));
            await(
                    4,
                    () -> planeB.findJob(new JobId("j")).orElseThrow().state() == JobState.RUNNING);
            planeB.updateJob(new JobRecord(urgentJobSpec("j"), JobState.STARTING, "", 2, ""));
            await(
                    4,
                    () -> planeB.findJob(new JobId("j")).orElseThrow().state() == JobState.RUNNING);
            planeA.updateJob(new JobRecord(urgentJobSpec("j"), JobState.DONE, "", 4, ""));
            await(4, () -> planeB.findJob(new JobId("j")).orElseThrow().state() == JobState.DONE);
            planeB.updateJob(new JobRecord(urgentJobSpec("j"), JobState.RUNNING, "", 6, ""));
            await(4, () -> planeB.findJob(new JobId("j")).orElseThrow().state() == JobState.DONE);
            mStore.setUnavailable(true);
            assertThat(planeA.claim("montaz", "l", "3").get()).isEqualTo(ClaimResult.UNAVAILABLE);
        }

        /** Guards against a concurrent reader that briefly sees an ended job as running. */
        @Test
        void staleUpdateNeverReplacesFinalState() throws Exception {
            StoreControlPlane plane = startEntries(1).get(0).mPlane;
            JobId job = new JobId("j");
            plane.createJob(urgentJobSpec("j")).get();
            plane.updateJob(new JobRecord(urgentJobSpec("j"), JobState.DONE, "", 4, ""));
            await(4, () -> mEntries.get(0).mJobStates.contains(JobState.DONE));
            for (int i = 0; i < 500; i++) {
                plane.updateJob(new JobRecord(urgentJobSpec("j"), JobState.RUNNING, "", 2, ""));
                for (int read = 0; read < 200; read++) {
                    assertThat(plane.findJob(job).orElseThrow().state()).isEqualTo(JobState.DONE);
                }
            }
        }

        /** Guards against an owner that is never notified that the store has the end of a job. */
        @Test
        void listenerIsNotifiedOfLocalWrite() throws Exception {
            Entry entry = startEntries(1).get(0);
            entry.mPlane.createJob(urgentJobSpec("j")).get();
            await(4, () -> entry.mJobStates.contains(JobState.QUEUED));
            entry.mPlane.updateJob(new JobRecord(urgentJobSpec("j"), JobState.DONE, "", 4, ""));
            await(4, () -> entry.mJobStates.contains(JobState.DONE));
        }

        /**
         * Guards against rejecting retries for 24 h because of an abandoned claim that was still
         * written.
         */
        @Test
        void claimGrantedAfterTimeoutIsDeleted() throws Exception {
            Entry entry = startEntries(1).get(0);
            mStore.stallFor(2_500);
            assertThat(entry.mPlane.claim("montaz", "k", "1").get())
                    .isEqualTo(ClaimResult.UNAVAILABLE);
            await(1, () -> entry.mEvents.contains(EventCode.CLAIM_ABANDONED));
            // Wait until the delayed write has taken effect and the claim is deleted.
            Thread.sleep(1_500);
            assertThat(entry.mPlane.claim("montaz", "k", "2").get()).isEqualTo(ClaimResult.GRANTED);
        }

        /** Guards against abandoning a claim without an event when the store's response is lost. */
        @Test
        void claimIsAbandonedWhenAnswerIsLost() throws Exception {
            Entry entry = startEntries(1).get(0);
            assertThat(entry.mPlane.claim("montaz", "j", "1").get()).isEqualTo(ClaimResult.GRANTED);
            assertThat(entry.mEvents).doesNotContain(EventCode.CLAIM_ABANDONED);
            entry.mClient.setLosesWriteResponses(true);
            assertThat(entry.mPlane.claim("montaz", "k", "2").get())
                    .isEqualTo(ClaimResult.UNAVAILABLE);
            await(1, () -> entry.mEvents.contains(EventCode.CLAIM_ABANDONED));
        }

        /**
         * Guards against urgent jobs that depend on the store or reach an entry without the role.
         */
        @Test
        void urgentJobReachesOwnerDuringStoreOutage() throws Exception {
            List<Entry> entries = startEntries(2);
            Entry owner = awaitOwner();
            Thread.sleep(1_200);
            mStore.setUnavailable(true);
            for (Entry entry : entries) {
                JobRecord record =
                        entry.mPlane
                                .submitUrgent(urgentJobSpec("u"), 4_000)
                                .get(5, TimeUnit.SECONDS);
                assertThat(record.state()).isEqualTo(JobState.RUNNING);
                assertThat(record.fencingToken()).isEqualTo(owner.mHeldToken);
            }
        }

        /** Guards against shares that never reach an entry or exceed the limit. */
        @Test
        void rateSharesFollowDemandWithinLimit() throws Exception {
            List<Entry> entries = startEntries(2);
            entries.get(0).saveTable(TABLE_CSV, 0);
            LimitKey key = new LimitKey(new TeamId("montaz"), new KindId("layout"));
            entries.get(1).mPlane.publishLoad(Map.of(), Map.of(key, 100.0));
            await(8, () -> entries.get(1).mShares.getOrDefault(key, 0.0) > 55);
            double totalRate = entries.stream().mapToDouble(entry -> entry.mShares.get(key)).sum();
            assertThat(totalRate).isLessThanOrEqualTo(80.01);
        }
    }
}
