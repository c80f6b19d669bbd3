package org.lycheeroad.entry.control;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.coordination.config.TableEvent;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.membership.ListedEntry;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.membership.MembershipEvent;
import org.lycheeroad.coordination.membership.MembershipTracker;
import org.lycheeroad.coordination.roles.RoleEvent;
import org.lycheeroad.coordination.roles.RoleSettings;
import org.lycheeroad.coordination.routing.ClaimResult;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.peer.NettyPeerTransport;
import org.lycheeroad.transport.peer.PeerTransport;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.RateLimitedStoreClient;
import org.lycheeroad.transport.store.StoreBatcher;
import org.lycheeroad.transport.store.StoreClient;

/**
 * A control plane that shares state through the platform's store and through peer connections.
 *
 * <p>All mutable state is confined to the control thread, except for snapshots that the getters
 * return.
 */
public final class StoreControlPlane implements ControlPlane {
    private static final long REFRESH_INTERVAL_MILLIS = 1_000;
    private final ControlSettings mSettings;
    private final StoreClient mStore;
    private final PeerTransport mTransport;
    private final ControlLoop mLoop;
    private final ControlListenerRegistry mListeners = new ControlListenerRegistry();
    private final PlacementOwnership mOwnership = new PlacementOwnership();
    private final MembershipService mMembershipService;
    private final ControlRoles mRoles;
    private final StoreProbe mStoreProbe;
    private final TableService mTableService;
    private final JobStore mJobStore;
    private final ClaimService mClaimService;
    private final LimitService mLimitService;
    private final PlacementOwnerClient mOwnerClient;
    private final PeerFrameDispatcher mFrameDispatcher;
    private final HeartbeatSender mHeartbeatSender;
    private final ControlShutdown mShutdown;
    private final StoreWatcher mStoreWatcher;
    private final MemberLease mMemberLease;

    private final ControlStatusReporter mStatusReporter;

    private long mNextRefreshAtMillis;
    private volatile String mStatusJson = "{}";
    private volatile Map<String, Long> mHeldTokens;

    /**
     * Creates a control plane that opens its own connections to the store and to peers.
     *
     * @param peerBind the address to listen on for peers, which may be a wildcard address
     * @param clock the clock that timestamps the entry's events
     */
    public StoreControlPlane(
            ControlSettings settings, HostPort peerBind, EventLoopGroup group, HybridClock clock) {
        this(
                settings,
                group,
                clock,
                StoreClientFactory.create(settings, group),
                new NettyPeerTransport(peerBind, group));
    }

    /** Creates a control plane that is not started yet. */
    public StoreControlPlane(
            ControlSettings settings,
            EventLoopGroup group,
            HybridClock clock,
            StoreClient store,
            PeerTransport transport) {
        mSettings = settings;
        mStore = store;
        mTransport = transport;
        mLoop = new ControlLoop(group, this::tick, this::isIdle);
        MemberIdentity self =
                new MemberIdentity(
                        settings.entry(),
                        settings.instance(),
                        settings.region(),
                        settings.peerAddress());
        MembershipTracker tracker = new MembershipTracker(self);
        MemberTransport members = new MemberTransport(tracker, transport);
        Random random = new Random(settings.instance() + 1);
        AttemptIdGenerator ids = new AttemptIdGenerator(settings);
        HourlyLeaseProvider leases = new HourlyLeaseProvider(store);
        mLimitService =
                new LimitService(
                        settings,
                        new LimitMessageSender(self.id(), members),
                        this::notifyRateShare);
        RoleHolders holders = new RoleHolders();
        RoleNotifier notifier =
                new RoleNotifier(members, mListeners, this::sendHeartbeatAtNextTick);
        mRoles = createRoles(self, holders, notifier);
        mHeldTokens = mRoles.heldTokens();
        mMembershipService =
                new MembershipService(self, settings.peers(), tracker, mRoles, mListeners);
        mTableService =
                new TableService(
                        store,
                        mLoop,
                        ids,
                        random,
                        new TableNotifier(
                                mLimitService, members, mListeners, this::sendHeartbeatAtNextTick));
        mJobStore = createJobStore(group, random, ids, leases);
        mClaimService = createClaimService(group, random, leases);
        mOwnerClient = createOwnerClient(holders, members);
        mStatusReporter =
                new ControlStatusReporter(
                        self, tracker, mRoles.all(), mTableService, mJobStore, store);
        mStoreWatcher =
                new StoreWatcher(
                        store,
                        mLoop,
                        new WatchedKeyDispatcher(
                                mTableService,
                                mJobStore,
                                mRoles.all(),
                                holders,
                                mMembershipService::handle),
                        random);
        mStoreProbe = new StoreProbe(store, mLoop, mRoles, mListeners, mStoreWatcher::reopen);
        mMemberLease = new MemberLease(self, store, mLoop);
        mShutdown =
                new ControlShutdown(mLoop, mMembershipService, mRoles, mMemberLease, mStoreWatcher);
        mHeartbeatSender =
                new HeartbeatSender(
                        self, clock, transport, tracker, mMembershipService, mRoles, mTableService);
        HeartbeatReceiver receiver =
                new HeartbeatReceiver(
                        self,
                        clock,
                        tracker,
                        mMembershipService,
                        mRoles,
                        holders,
                        mTableService,
                        mListeners);
        mFrameDispatcher =
                new PeerFrameDispatcher(
                        mLoop, receiver, mRoles, mTableService, mLimitService, mOwnerClient);
    }

    @Override
    public void start() {
        try {
            mTransport.start(mFrameDispatcher::onFrame);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mLoop.start();
        mLoop.execute(mStoreWatcher::open);
    }

    @Override
    public void stop() {
        mShutdown.run();
        mLoop.stop();
        mTransport.stop();
    }

    @Override
    public void addListener(ControlListener listener) {
        mListeners.add(listener);
    }

    @Override
    public boolean isReady() {
        return mTableService.isReady() && mOwnership.isRecentlyChecked();
    }

    @Override
    public Optional<OperatorTable> currentTable() {
        return mTableService.currentTable();
    }

    @Override
    public String tableCsv() {
        return mTableService.currentCsv();
    }

    @Override
    public CompletableFuture<SaveTableResult> saveTable(String csv, long expectedVersion) {
        return mTableService.save(csv, expectedVersion);
    }

    @Override
    public CompletableFuture<CreateJobResult> createJob(JobSpec spec) {
        return mJobStore.create(spec);
    }

    @Override
    public void updateJob(JobRecord record) {
        mLoop.execute(() -> mJobStore.update(record));
    }

    @Override
    public Optional<JobRecord> findJob(JobId job) {
        return mJobStore.find(job);
    }

    @Override
    public CompletableFuture<ClaimResult> claim(String team, String key, String attempt) {
        return mClaimService.claim(team, key, attempt);
    }

    @Override
    public void releaseClaim(String team, String key, String attempt) {
        mClaimService.release(team, key, attempt);
    }

    @Override
    public CompletableFuture<JobRecord> submitUrgent(JobSpec spec, long timeoutMillis) {
        return mOwnerClient.submit(spec, timeoutMillis);
    }

    @Override
    public CompletableFuture<JobRecord> cancelJob(JobId job, long timeoutMillis) {
        List<RegionId> regions =
                mJobStore
                        .find(job)
                        .map(r -> List.of(r.spec().region()))
                        .orElse(mSettings.clusterRegions());
        return mOwnerClient.cancel(job, regions, timeoutMillis);
    }

    @Override
    public void publishLoad(
            Map<TargetId, Integer> inFlight, Map<LimitKey, Double> demandPerSecond) {
        mHeartbeatSender.setLoad(inFlight);
        mLimitService.setDemand(demandPerSecond);
    }

    @Override
    public boolean mayActAsPlacementOwner(long token) {
        return mOwnership.mayAct(token);
    }

    @Override
    public Map<String, Long> storeCallCounts() {
        Map<String, Long> calls = new HashMap<>();
        if (mStore instanceof RateLimitedStoreClient guarded) {
            guarded.callCounts().forEach((mechanism, count) -> calls.put(mechanism.name(), count));
        }
        return calls;
    }

    @Override
    public Map<String, Long> heldTokens() {
        return mHeldTokens;
    }

    @Override
    public void reportTokenRefused(long higherToken) {
        mLoop.execute(() -> mRoles.placement().handle(new RoleEvent.TokenRefused(higherToken)));
    }

    @Override
    public void updateListedEntries(List<ListedEntry> entries) {
        mLoop.execute(() -> mMembershipService.handle(new MembershipEvent.VmListRead(entries)));
    }

    @Override
    public String statusJson() {
        return mStatusJson;
    }

    private void tick() {
        long nowMillis = ControlLoop.nowMillis();
        mRoles.handle(new RoleEvent.Tick());
        mOwnership.onElectionChecked(nowMillis);
        mMembershipService.handle(new MembershipEvent.Tick());
        mTableService.handle(new TableEvent.Tick());
        mStoreProbe.tick(nowMillis);
        mStoreWatcher.tick(nowMillis);
        if (nowMillis >= mNextRefreshAtMillis) {
            mNextRefreshAtMillis = nowMillis + REFRESH_INTERVAL_MILLIS;
            mTransport.setPeers(mMembershipService.peerAddresses());
            mStatusJson =
                    mStatusReporter.toJson(
                            isReady(),
                            mMembershipService.isDraining(),
                            mRoles.isStoreReachable(nowMillis),
                            nowMillis);
            mHeldTokens = mRoles.heldTokens();
        }
        mHeartbeatSender.tick(nowMillis);
        if (!mMembershipService.isDraining()) {
            mMemberLease.tick(nowMillis);
        }
        mLimitService.onTokenObserved(mRoles.limits().election().highestToken());
        mLimitService.tick(mRoles.limits().election().holder(), nowMillis);
    }

    /** Returns whether no election and no shutdown is in progress. */
    private boolean isIdle() {
        return !mMembershipService.isDraining()
                && mRoles.hasNoElectionInProgress(ControlLoop.nowMillis());
    }

    private void sendHeartbeatAtNextTick() {
        mHeartbeatSender.sendAtNextTick();
    }

    private void notifyRateShare(LimitKey key, double perSecond) {
        mListeners.notifyListeners(l -> l.onRateShareChanged(key, perSecond));
    }

    private ControlRoles createRoles(
            MemberIdentity self, RoleHolders holders, RoleNotifier notifier) {
        return new ControlRoles(
                createRole(
                        StoreKeys.placementRoleName(mSettings.region()),
                        RoleSettings.placement(),
                        new PlacementRoleListener(self, mOwnership, holders, mListeners, notifier)),
                createRole(
                        ControlRoles.LIMITS_ROLE,
                        RoleSettings.limits(),
                        new LimitsRoleListener(mLimitService, notifier)));
    }

    private PlacementOwnerClient createOwnerClient(RoleHolders holders, MemberTransport members) {
        LocalPlacement local = new LocalPlacement(mSettings.region(), mOwnership, mListeners);

        return new PlacementOwnerClient(
                mSettings.entry(),
                mLoop,
                new PlacementOwnerResolver(
                        mSettings.region(), mRoles.placement(), holders, members),
                local::submit,
                local::cancel);
    }

    private RoleService createRole(
            String role, RoleSettings settings, RoleService.Listener listener) {
        return new RoleService(role, settings, mSettings, mStore, mLoop, listener);
    }

    private JobStore createJobStore(
            EventLoopGroup group,
            Random random,
            AttemptIdGenerator ids,
            HourlyLeaseProvider leases) {
        return new JobStore(
                mStore,
                new StoreBatcher(mStore, Mechanism.JOBS, group, random),
                mLoop,
                ids,
                leases,
                record -> mListeners.notifyListeners(l -> l.onJobChanged(record)));
    }

    private ClaimService createClaimService(
            EventLoopGroup group, Random random, HourlyLeaseProvider leases) {
        return new ClaimService(
                mSettings.entry(),
                mStore,
                new StoreBatcher(mStore, Mechanism.CLAIMS, group, random),
                group,
                leases,
                key ->
                        mLoop.tryExecute(
                                () -> mListeners.recordEvent(EventCode.CLAIM_ABANDONED, key)));
    }
}
