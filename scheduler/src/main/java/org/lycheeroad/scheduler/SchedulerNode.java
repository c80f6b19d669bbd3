package org.lycheeroad.scheduler;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import org.lycheeroad.scheduler.config.ConfigCache;
import org.lycheeroad.scheduler.intake.JobApi;
import org.lycheeroad.scheduler.intake.JobStore;
import org.lycheeroad.scheduler.intake.LoadGate;
import org.lycheeroad.scheduler.load.LoadTracker;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.owner.OwnerRecord;
import org.lycheeroad.scheduler.owner.OwnerService;
import org.lycheeroad.scheduler.peer.PeerClient;
import org.lycheeroad.scheduler.peer.PeerServer;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.PlacementPolicy;
import org.lycheeroad.scheduler.port.PlatformSchema;
import org.lycheeroad.scheduler.port.WorkerGateway;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.http.HttpServer;

/** One daemon: it serves the API, and schedules jobs while it is the elected owner. */
public final class SchedulerNode {
    private static final int MAX_PEER_BODY_BYTES = 1 << 20;

    private final EventRecorder mEvents;
    private final ConfigCache mConfigCache;
    private final OwnerService mOwnerService;
    private final JobApi mJobApi;
    private final SerialExecutor mControlExecutor;
    private final HttpServer mPeerServer;
    private volatile boolean mDraining;

    public SchedulerNode(
            NodeSettings settings,
            MetadataStore platformStore,
            WorkerGateway gateway,
            PlacementPolicy policy,
            PlatformSchema schema,
            HttpClient http,
            EventLoopGroup eventLoopGroup,
            Clock clock,
            EventRecorder events,
            NodeMetrics metrics) {
        mEvents = events;
        mControlExecutor = new SerialExecutor("control", eventLoopGroup);
        HealthTrackingStore store =
                new HealthTrackingStore(platformStore, mControlExecutor, clock, events);
        PeerClient peers =
                new PeerClient(
                        http,
                        settings.peerAddress(),
                        this::remoteOwnerAddress,
                        settings.seedPeers());
        mConfigCache =
                new ConfigCache(store, mControlExecutor, schema, peers, clock, events, metrics);
        mOwnerService =
                new OwnerService(
                        store,
                        gateway,
                        policy,
                        schema,
                        mConfigCache,
                        peers,
                        settings,
                        clock,
                        events,
                        metrics,
                        eventLoopGroup);
        store.setUnavailableAction(mOwnerService::onStoreUnavailable);
        JobStore jobStore = new JobStore(store);
        LoadTracker load =
                new LoadTracker(
                        () -> mOwnerService.isOwner() ? mOwnerService.load() : peers.fetchLoad(),
                        this::ownerEpoch,
                        clock);
        mJobApi =
                new JobApi(
                        mConfigCache,
                        jobStore,
                        mOwnerService,
                        peers,
                        new LoadGate(load, jobStore, events, metrics),
                        mControlExecutor,
                        clock,
                        events,
                        metrics);
        mPeerServer =
                new HttpServer(
                        settings.peerAddress(),
                        eventLoopGroup,
                        MAX_PEER_BODY_BYTES,
                        new PeerServer(mConfigCache, mOwnerService, jobStore, store));
        metrics.registerGauge("lycheeroad_config_age_ms", mConfigCache::ageMs);
        metrics.registerGauge("lycheeroad_owner", () -> mOwnerService.isOwner() ? 1 : 0);
    }

    /** Starts the daemon; it can serve API calls once {@link #isReady} returns true. */
    public void start() throws IOException {
        mEvents.record(EventCode.ENTRY_STARTED, "", "");
        mPeerServer.start();
        mControlExecutor.start();
        mConfigCache.start();
        mOwnerService.start();
    }

    /** Gives up the ownership and stops being ready; calls are still served until {@link #stop}. */
    public void drain() {
        mDraining = true;
        mEvents.record(EventCode.ENTRY_DRAINING, "", "");
        mOwnerService.resign();
    }

    /** Stops serving and scheduling. */
    public void stop() {
        mEvents.record(EventCode.ENTRY_STOPPED, "", "");
        mConfigCache.stop();
        mOwnerService.stop();
        mControlExecutor.stop();
        mPeerServer.stop();
    }

    /** Returns whether new API calls should be routed to this daemon. */
    public boolean isReady() {
        return !mDraining && mConfigCache.current().isPresent();
    }

    /** Returns whether {@link #drain} has been called. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Returns the API that this daemon serves. */
    public JobApi jobApi() {
        return mJobApi;
    }

    private OptionalLong ownerEpoch() {
        return mOwnerService.owner().stream().mapToLong(OwnerRecord::epoch).findFirst();
    }

    private Optional<HostPort> remoteOwnerAddress() {
        return mOwnerService.remoteOwnerAddress();
    }
}
