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
import org.lycheeroad.coordination.membership.MembershipCore;
import org.lycheeroad.coordination.membership.MembershipEvent;
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
import org.lycheeroad.transport.peer.NettyPeerLinks;
import org.lycheeroad.transport.peer.PeerLinks;
import org.lycheeroad.transport.store.GuardedStoreClient;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreBatcher;
import org.lycheeroad.transport.store.StoreClient;

/**
 * Shares state over the platform's store and over connections between entries.
 *
 * <p>All state lives on one thread, except for the snapshots that the getters return.
 */
public final class StoreControlPlane implements ControlPlane {
    private static final long REFRESH_INTERVAL_MILLIS = 1_000;
    private final ControlSettings mSettings;
    private final StoreClient mStore;
    private final PeerLinks mTransport;
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
     * Creates a control plane on its own connections to the store and to peers.
     *
     * @param peerBind the address to listen on for peers, which may be a wildcard address
     * @param clock the clock whose timestamps the entry's events carry
     */
    public StoreControlPlane(
            ControlSettings settings, HostPort peerBind, EventLoopGroup group, HybridClock clock) {
        this(
                settings,
                group,
                clock,
                StoreClientFactory.create(settings, group),
                new NettyPeerLinks(peerBind, group));
    }

    /** Creates a control plane that is not started yet. */
    public StoreControlPlane(
            ControlSettings settings,
            EventLoopGroup group,
            HybridClock clock,
            StoreClient store,
            PeerLinks links) {
        mSettings = settings;
        mStore = store;
        mTransport = links;
        mLoop = new ControlLoop(group, this::tick, this::isIdle);
        MemberIdentity self =
                new MemberIdentity(
                        settings.entry(),
                        settings.instance(),
                        settings.region(),
                        settings.peerAddress());
        MembershipCore members = new MembershipCore(self);
        MemberTransport memberLinks = new MemberTransport(members, links);
        Random random = new Random(settings.instance() + 1);
        AttemptIdGenerator attempts = new AttemptIdGenerator(settings);
        HourlyLeaseProvider leases = new HourlyLeaseProvider(store);
        mLimitService =
                new LimitService(
                        settings,
                        new LimitMessageSender(self.id(), memberLinks),
                        this::notifyRateShare);
        RoleHolders holders = new RoleHolders();
        RoleNotifier notices =
                new RoleNotifier(memberLinks, mListeners, this::sendHeartbeatAtNextTick);
        mRoles =
                new ControlRoles(
                        createRole(
                                StoreKeys.placementRoleName(settings.region()),
                                RoleSettings.placement(),
                                new PlacementRoleListener(
                                        self, mOwnership, holders, mListeners, notices)),
                        createRole(
                                ControlRoles.LIMITS_ROLE,
                                RoleSettings.limits(),
                                new LimitsRoleListener(mLimitService, notices)));
        mHeldTokens = mRoles.heldTokens();
        mMembershipService =
                new MembershipService(self, settings.peers(), members, mRoles, mListeners);
        mTableService =
                new TableService(
                        store,
                        mLoop,
                        attempts,
                        random,
                        new TableNotifier(
                                mLimitService,
                                memberLinks,
                                mListeners,
                                this::sendHeartbeatAtNextTick));
        mJobStore = createJobStore(group, random, attempts, leases);
        mClaimService = createClaimService(group, random, leases);
        LocalPlacement local = new LocalPlacement(settings.region(), mOwnership, mListeners);
        mOwnerClient =
                new PlacementOwnerClient(
                        settings.entry(),
                        mLoop,
                        new PlacementOwnerResolver(
                                settings.region(), mRoles.placement(), holders, memberLinks),
                        local::submit,
                        local::cancel);
        mStatusReporter =
                new ControlStatusReporter(
                        self, members, mRoles.all(), mTableService, mJobStore, store);
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
                        self, clock, links, members, mMembershipService, mRoles, mTableService);
        HeartbeatReceiver received =
                new HeartbeatReceiver(
                        self,
                        clock,
                        members,
                        mMembershipService,
                        mRoles,
                        holders,
                        mTableService,
                        mListeners);
        mFrameDispatcher =
                new PeerFrameDispatcher(
                        mLoop, received, mRoles, mTableService, mLimitService, mOwnerClient);
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
        if (mStore instanceof GuardedStoreClient guarded) {
            guarded.counts().forEach((mechanism, count) -> calls.put(mechanism.name(), count));
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
        mLoop.execute(() -> mMembershipService.handle(new MembershipEvent.Listed(entries)));
    }

    @Override
    public String statusJson() {
        return mStatusJson;
    }

    private void tick() {
        long now = ControlLoop.nowMillis();
        mRoles.handle(new RoleEvent.Tick());
        mOwnership.onElectionChecked(now);
        mMembershipService.handle(new MembershipEvent.Tick());
        mTableService.handle(new TableEvent.Tick());
        mStoreProbe.tick(now);
        mStoreWatcher.tick(now);
        if (now >= mNextRefreshAtMillis) {
            mNextRefreshAtMillis = now + REFRESH_INTERVAL_MILLIS;
            mTransport.connect(mMembershipService.peerAddresses());
            mStatusJson =
                    mStatusReporter.toJson(
                            isReady(),
                            mMembershipService.isDraining(),
                            mRoles.isStoreReachable(now),
                            now);
            mHeldTokens = mRoles.heldTokens();
        }
        mHeartbeatSender.tick(now);
        if (!mMembershipService.isDraining()) {
            mMemberLease.tick(now);
        }
        mLimitService.onTokenObserved(mRoles.limits().election().highestToken());
        mLimitService.tick(mRoles.limits().election().holder(), now);
    }

    /** Returns whether no election is open and no shutdown is under way. */
    private boolean isIdle() {
        return !mMembershipService.isDraining() && mRoles.isSettled(ControlLoop.nowMillis());
    }

    private void sendHeartbeatAtNextTick() {
        mHeartbeatSender.sendAtNextTick();
    }

    private void notifyRateShare(LimitKey key, double perSecond) {
        mListeners.notifyListeners(l -> l.onRateShareChanged(key, perSecond));
    }

    private RoleService createRole(
            String role, RoleSettings settings, RoleService.Listener listener) {
        return new RoleService(role, settings, mSettings, mStore, mLoop, listener);
    }

    private JobStore createJobStore(
            EventLoopGroup group,
            Random random,
            AttemptIdGenerator attempts,
            HourlyLeaseProvider leases) {
        return new JobStore(
                mStore,
                new StoreBatcher(mStore, Mechanism.JOBS, group, random),
                mLoop,
                attempts,
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
