package org.lycheeroad.scheduler.owner;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.config.ConfigCache;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.peer.PeerClient;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.PlacementPolicy;
import org.lycheeroad.scheduler.port.PlatformSchema;
import org.lycheeroad.scheduler.port.WorkerGateway;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.LoadSummary;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.WorkState;

/** Takes part in the election of the owner, and schedules while this VM is owner. */
public final class OwnerService {
    /**
     * How long the store has to be unavailable before the ownership is handed over: longer than a
     * few refused calls, and well below the lease.
     */
    private static final long HANDOVER_DELAY_MS = 250;

    /** Several times the latency to the store from within its region. */
    private static final long LAST_READ_TIMEOUT_MS = 150;

    private final MetadataStore mStore;
    private final WorkerGateway mGateway;
    private final PlacementPolicy mPolicy;
    private final PlatformSchema mSchema;
    private final ConfigCache mConfigCache;
    private final PeerClient mPeers;
    private final NodeSettings mSettings;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final NodeMetrics mMetrics;
    private final SerialExecutor mExecutor;
    private final Election mElection;
    private OwnerSession mSession;
    private volatile boolean mIsOwner;

    public OwnerService(
            MetadataStore store,
            WorkerGateway gateway,
            PlacementPolicy policy,
            PlatformSchema schema,
            ConfigCache config,
            PeerClient peers,
            NodeSettings settings,
            Clock clock,
            EventRecorder events,
            NodeMetrics metrics,
            ScheduledExecutorService timers) {
        mStore = store;
        mGateway = gateway;
        mPolicy = policy;
        mSchema = schema;
        mConfigCache = config;
        mPeers = peers;
        mSettings = settings;
        mClock = clock;
        mEvents = events;
        mMetrics = metrics;
        mExecutor = new SerialExecutor("owner", timers);
        mElection = new Election(store, mExecutor, settings, clock, events, new TermListener());
        mExecutor.setIdleAction(this::runSchedulingPass);
    }

    public void start() {
        mExecutor.start();
        mElection.start();
    }

    /** Gives up the ownership immediately; queries are still answered. */
    public void resign() {
        mElection.resign();
    }

    public void stop() {
        mExecutor.stop();
    }

    /** Returns the newest owner that this daemon knows. */
    public Optional<OwnerRecord> owner() {
        return mElection.owner();
    }

    /**
     * Handles the unavailability of the store from this VM: learns the owner from other daemons,
     * since its key cannot be watched, or gives up the ownership if another daemon reaches the
     * store.
     */
    public void onStoreUnavailable(long failingForMs) {
        if (mIsOwner) {
            if (failingForMs >= HANDOVER_DELAY_MS) {
                mPeers.findPeerWithStore()
                        .thenAccept(peer -> peer.ifPresent(this::handOverIfStillUnavailable));
            }
        } else {
            mPeers.fetchOwner().thenAccept(owner -> owner.ifPresent(mElection::onOwnerReported));
        }
    }

    /** Tries the store once more, since it may have returned for all VMs at this moment. */
    private void handOverIfStillUnavailable(HostPort peer) {
        mStore.read(StoreKeys.EPOCH)
                .handle((epoch, e) -> e == null)
                .completeOnTimeout(false, LAST_READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .thenAccept(
                        reached -> {
                            if (!reached) {
                                handOverThrough(peer);
                            }
                        });
    }

    /** Ends the term, and then has a peer revoke its lease, so that another VM is elected. */
    private void handOverThrough(HostPort peer) {
        mExecutor.execute(
                () ->
                        mElection
                                .endTermWithoutStore()
                                .ifPresent(lease -> mPeers.revokeLeaseThrough(peer, lease)));
    }

    /** Returns the address of the owner, or empty if it is unknown or this VM. */
    public Optional<HostPort> remoteOwnerAddress() {
        return owner().filter(owner -> !mElection.isThisProcess(owner)).map(OwnerRecord::peer);
    }

    /** Returns whether this VM has read who is owner; a daemon that has just started has not. */
    public boolean hasReadOwner() {
        return mElection.isOwnerKeyRead();
    }

    /** Returns whether an owner is known. */
    public boolean hasOwner() {
        return mElection.owner().isPresent();
    }

    /** Returns whether this VM is the owner. */
    public boolean isOwner() {
        return mIsOwner;
    }

    /** Returns a job's state, or empty if this VM is not the owner or does not know the job. */
    public CompletableFuture<Optional<WorkState>> stateOf(JobId id) {
        return askSession(session -> session.stateOf(id));
    }

    /**
     * Returns how many of a queue's jobs have not started, or empty if this VM is not the owner.
     */
    public CompletableFuture<Optional<Integer>> pendingCount(QueueName queue) {
        return askSession(session -> session.pendingCount(queue));
    }

    /**
     * Returns the failure domains in which this VM starts no runs, or empty if it is not the owner.
     */
    public CompletableFuture<Optional<Set<FailureDomainId>>> evacuatedDomains() {
        return askSession(OwnerSession::evacuatedDomains);
    }

    /** Returns a summary of the load, or empty if this VM is not the owner or does not know it. */
    public CompletableFuture<Optional<LoadSummary>> load() {
        return askSession(OwnerSession::load);
    }

    /** Asks the session on its executor; empty if this VM is not the owner. */
    private <T> CompletableFuture<Optional<T>> askSession(
            Function<OwnerSession, Optional<T>> question) {
        if (!mIsOwner) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        CompletableFuture<Optional<T>> answer = new CompletableFuture<>();
        mExecutor.execute(
                () ->
                        answer.complete(
                                mSession == null ? Optional.empty() : question.apply(mSession)));
        return answer;
    }

    private void runSchedulingPass() {
        if (mSession != null) {
            mSession.runSchedulingPass();
        }
    }

    private final class TermListener implements Election.Listener {
        @Override
        public void onElected(Term term) {
            mSession =
                    new OwnerSession(
                            mStore,
                            mGateway,
                            mPolicy,
                            mSchema,
                            mConfigCache,
                            mExecutor,
                            term,
                            mSettings,
                            mClock,
                            mEvents,
                            mMetrics,
                            () -> mElection.onSuperseded(term));
            mIsOwner = true;
            mSession.start();
        }

        @Override
        public void onTermEnded(Term term) {
            mIsOwner = false;
            if (mSession != null) {
                mSession.stop();
                mSession = null;
            }
        }
    }
}
