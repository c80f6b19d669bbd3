package org.lycheeroad.scheduler.owner;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.config.ConfigCache;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.PlacementPolicy;
import org.lycheeroad.scheduler.port.PlatformSchema;
import org.lycheeroad.scheduler.port.WorkerGateway;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.WorkState;

/** Takes part in the election and schedules while this VM is owner. */
public final class OwnerService {
    private final MetadataStore mStore;
    private final WorkerGateway mGateway;
    private final PlacementPolicy mPolicy;
    private final PlatformSchema mCatalog;
    private final ConfigCache mConfig;
    private final NodeSettings mSettings;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final NodeMetrics mMetrics;
    private final SerialExecutor mStrand;
    private final Election mElection;
    private OwnerSession mSession;
    private volatile boolean mOwning;

    public OwnerService(
            MetadataStore store,
            WorkerGateway gateway,
            PlacementPolicy policy,
            PlatformSchema catalog,
            ConfigCache config,
            NodeSettings settings,
            Clock clock,
            EventRecorder events,
            NodeMetrics metrics,
            ScheduledExecutorService timers) {
        mStore = store;
        mGateway = gateway;
        mPolicy = policy;
        mCatalog = catalog;
        mConfig = config;
        mSettings = settings;
        mClock = clock;
        mEvents = events;
        mMetrics = metrics;
        mStrand = new SerialExecutor("owner", timers);
        mElection = new Election(store, mStrand, settings, clock, events, new Terms());
        mStrand.setIdleAction(this::round);
    }

    public void start() {
        mStrand.start();
        mElection.start();
    }

    /** Hands the ownership over at once; answers to callers go on. */
    public void resign() {
        mElection.resign();
    }

    public void stop() {
        mStrand.stop();
    }

    /** Returns the address of the owner if it is another VM. */
    public Optional<HostPort> otherOwner() {
        return mElection.owner().filter(o -> !mElection.isSelf(o)).map(OwnerRecord::peer);
    }

    /** Returns whether any owner is known. */
    public boolean hasOwner() {
        return mElection.owner().isPresent();
    }

    /** Returns whether this VM is owner. */
    public boolean isOwner() {
        return mOwning;
    }

    /** Returns a job's state if this VM is owner and knows the job. */
    public CompletableFuture<Optional<WorkState>> stateOf(JobId id) {
        if (!mOwning) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        CompletableFuture<Optional<WorkState>> state = new CompletableFuture<>();
        mStrand.execute(
                () -> state.complete(mSession == null ? Optional.empty() : mSession.stateOf(id)));
        return state;
    }

    /** Returns the number of a queue's jobs that have not begun if this VM is owner. */
    public CompletableFuture<Optional<Integer>> pending(QueueName queue) {
        if (!mOwning) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        CompletableFuture<Optional<Integer>> count = new CompletableFuture<>();
        mStrand.execute(
                () ->
                        count.complete(
                                mSession == null ? Optional.empty() : mSession.pending(queue)));
        return count;
    }

    private void round() {
        if (mSession != null) {
            mSession.round();
        }
    }

    private final class Terms implements Election.Listener {
        @Override
        public void onElected(Term term) {
            mSession =
                    new OwnerSession(
                            mStore,
                            mGateway,
                            mPolicy,
                            mCatalog,
                            mConfig,
                            mStrand,
                            term,
                            mSettings,
                            mClock,
                            mEvents,
                            mMetrics,
                            () -> mElection.onSuperseded(term));
            mOwning = true;
            mSession.start();
        }

        @Override
        public void onLost(Term term) {
            mOwning = false;
            if (mSession != null) {
                mSession.stop();
                mSession = null;
            }
        }
    }
}
