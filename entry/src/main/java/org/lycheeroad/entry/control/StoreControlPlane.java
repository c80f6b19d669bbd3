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
 * Shares state over the platform's store and over connections between entries.
 *
 * <p>All state lives on one thread, except for the snapshots that the getters return.
 */
public final class StoreControlPlane implements ControlPlane {
    private static final long LINKS_MILLIS = 1_000;
    private final ControlSettings mSettings;
    private final StoreClient mStore;
    private final PeerTransport mLinks;
    private final ControlLoop mLoop;
    private final ControlListeners mListeners = new ControlListeners();
    private final PlacementPermit mPermit = new PlacementPermit();
    private final MembershipService mMembership;
    private final ControlRoles mRoles;
    private final StoreProbe mProbe;
    private final TableService mTable;
    private final JobStore mJobs;
    private final ClaimService mClaims;
    private final LimitService mLimits;
    private final OwnerCalls mOwnerCalls;
    private final PeerFrames mFrames;
    private final HeartbeatSender mHeartbeats;
    private final ControlShutdown mShutdown;
    private final StoreMirror mMirror;
    private final MemberLease mMemberLease;

    private final ControlStatus mControlStatus;

    private long mNextLinks;
    private volatile String mStatus = "{}";
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
                StoreConnection.create(settings, group),
                new NettyPeerTransport(peerBind, group));
    }

    /** Creates a control plane that is not started yet. */
    public StoreControlPlane(
            ControlSettings settings,
            EventLoopGroup group,
            HybridClock clock,
            StoreClient store,
            PeerTransport links) {
        mSettings = settings;
        mStore = store;
        mLinks = links;
        mLoop = new ControlLoop(group, this::tick, this::isSettled);
        MemberIdentity self =
                new MemberIdentity(
                        settings.entry(),
                        settings.instance(),
                        settings.region(),
                        settings.peerListen());
        MembershipTracker members = new MembershipTracker(self);
        MemberLinks memberLinks = new MemberLinks(members, links);
        Random random = new Random(settings.instance() + 1);
        AttemptIds attempts = new AttemptIds(settings);
        HourlyLeases leases = new HourlyLeases(store);
        mLimits =
                new LimitService(
                        settings, new ShareSender(self.id(), memberLinks), this::tellShare);
        RoleHolders holders = new RoleHolders();
        RoleNotices notices = new RoleNotices(memberLinks, mListeners, this::announce);
        mRoles =
                new ControlRoles(
                        createRole(
                                StoreKeys.placementRole(settings.region()),
                                RoleSettings.placement(),
                                new PlacementRoleListener(
                                        self, mPermit, holders, mListeners, notices)),
                        createRole(
                                ControlRoles.LIMITS,
                                RoleSettings.limits(),
                                new LimitsRoleListener(mLimits, notices)));
        mHeldTokens = mRoles.heldTokens();
        mMembership = new MembershipService(self, settings.peers(), members, mRoles, mListeners);
        mTable =
                new TableService(
                        store,
                        mLoop,
                        attempts,
                        random,
                        new TableNotices(mLimits, memberLinks, mListeners, this::announce));
        mJobs = createJobs(group, random, attempts, leases);
        mClaims = createClaims(group, random, leases);
        LocalPlacement local = new LocalPlacement(settings.region(), mPermit, mListeners);
        mOwnerCalls =
                new OwnerCalls(
                        settings.entry(),
                        mLoop,
                        new PlacementOwners(
                                settings.region(), mRoles.placement(), holders, memberLinks),
                        local::submit,
                        local::cancel);
        mControlStatus = new ControlStatus(self, members, mRoles.all(), mTable, mJobs, store);
        mMirror =
                new StoreMirror(
                        store,
                        mLoop,
                        new WatchedKeys(mTable, mJobs, mRoles.all(), holders, mMembership::handle),
                        random);
        mProbe = new StoreProbe(store, mLoop, mRoles, mListeners, mMirror::reopen);
        mMemberLease = new MemberLease(self, store, mLoop);
        mShutdown = new ControlShutdown(mLoop, mMembership, mRoles, mMemberLease, mMirror);
        mHeartbeats = new HeartbeatSender(self, clock, links, members, mMembership, mRoles, mTable);
        HeartbeatReceiver received =
                new HeartbeatReceiver(
                        self, clock, members, mMembership, mRoles, holders, mTable, mListeners);
        mFrames = new PeerFrames(mLoop, received, mRoles, mTable, mLimits, mOwnerCalls);
    }

    @Override
    public void start() {
        try {
            mLinks.start(mFrames::onFrame);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mLoop.start();
        mLoop.execute(mMirror::open);
    }

    @Override
    public void stop() {
        mShutdown.run();
        mLoop.stop();
        mLinks.stop();
    }

    @Override
    public void addListener(ControlListener listener) {
        mListeners.add(listener);
    }

    @Override
    public boolean isReady() {
        return mTable.isReady() && mPermit.isCurrent();
    }

    @Override
    public Optional<OperatorTable> table() {
        return mTable.table();
    }

    @Override
    public String tableCsv() {
        return mTable.csv();
    }

    @Override
    public CompletableFuture<SaveResult> saveTable(String csv, long expectedVersion) {
        return mTable.save(csv, expectedVersion);
    }

    @Override
    public CompletableFuture<JobWrite> createJob(JobSpec spec) {
        return mJobs.create(spec);
    }

    @Override
    public void updateJob(JobRecord record) {
        mLoop.execute(() -> mJobs.update(record));
    }

    @Override
    public Optional<JobRecord> job(JobId job) {
        return mJobs.job(job);
    }

    @Override
    public CompletableFuture<ClaimResult> claim(String team, String key, String attempt) {
        return mClaims.claim(team, key, attempt);
    }

    @Override
    public void releaseClaim(String team, String key, String attempt) {
        mClaims.release(team, key, attempt);
    }

    @Override
    public CompletableFuture<JobRecord> submitUrgent(JobSpec spec, long timeoutMillis) {
        return mOwnerCalls.submit(spec, timeoutMillis);
    }

    @Override
    public CompletableFuture<JobRecord> cancel(JobId job, long timeoutMillis) {
        List<RegionId> regions =
                mJobs.job(job)
                        .map(r -> List.of(r.spec().region()))
                        .orElse(mSettings.clusterRegions());
        return mOwnerCalls.cancel(job, regions, timeoutMillis);
    }

    @Override
    public void publishLoad(
            Map<TargetId, Integer> inFlight, Map<LimitKey, Double> demandPerSecond) {
        mHeartbeats.publishLoad(inFlight);
        mLimits.publish(demandPerSecond);
    }

    @Override
    public boolean mayActAsOwner(long token) {
        return mPermit.mayAct(token);
    }

    @Override
    public Map<String, Long> storeCalls() {
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
    public void refusedToken(long higherToken) {
        mLoop.execute(() -> mRoles.placement().handle(new RoleEvent.TokenRefused(higherToken)));
    }

    @Override
    public void entriesListed(List<ListedEntry> entries) {
        mLoop.execute(() -> mMembership.handle(new MembershipEvent.VmListRead(entries)));
    }

    @Override
    public String statusJson() {
        return mStatus;
    }

    private void tick() {
        long now = ControlLoop.now();
        mRoles.handle(new RoleEvent.Tick());
        mPermit.checked(now);
        mMembership.handle(new MembershipEvent.Tick());
        mTable.handle(new TableEvent.Tick());
        mProbe.tick(now);
        mMirror.tick(now);
        if (now >= mNextLinks) {
            mNextLinks = now + LINKS_MILLIS;
            mLinks.setPeers(mMembership.addresses());
            mStatus =
                    mControlStatus.describe(
                            isReady(), mMembership.isDraining(), mRoles.storeAnswers(now), now);
            mHeldTokens = mRoles.heldTokens();
        }
        mHeartbeats.tick(now);
        if (!mMembership.isDraining()) {
            mMemberLease.tick(now);
        }
        mLimits.onTokenSeen(mRoles.limits().election().highestToken());
        mLimits.tick(mRoles.limits().election().holder(), now);
    }

    /** Returns whether no election is open and no shutdown is under way. */
    private boolean isSettled() {
        return !mMembership.isDraining() && mRoles.isSettled(ControlLoop.now());
    }

    private void announce() {
        mHeartbeats.sendSoon();
    }

    private void tellShare(LimitKey key, double perSecond) {
        mListeners.tell(l -> l.onShare(key, perSecond));
    }

    private RoleService createRole(
            String role, RoleSettings settings, RoleService.Listener listener) {
        return new RoleService(role, settings, mSettings, mStore, mLoop, listener);
    }

    private JobStore createJobs(
            EventLoopGroup group, Random random, AttemptIds attempts, HourlyLeases leases) {
        return new JobStore(
                mStore,
                new StoreBatcher(mStore, Mechanism.JOBS, group, random),
                mLoop,
                attempts,
                leases,
                record -> mListeners.tell(l -> l.onJob(record)));
    }

    private ClaimService createClaims(EventLoopGroup group, Random random, HourlyLeases leases) {
        return new ClaimService(
                mSettings.entry(),
                mStore,
                new StoreBatcher(mStore, Mechanism.CLAIMS, group, random),
                group,
                leases,
                key -> mLoop.offer(() -> mListeners.event(EventCode.CLAIM_ABANDONED, key)));
    }
}
