package org.lycheeroad.scheduler;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.Optional;
import org.lycheeroad.scheduler.config.ConfigCache;
import org.lycheeroad.scheduler.intake.JobApi;
import org.lycheeroad.scheduler.intake.JobStore;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
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

/** One daemon: it serves callers, and schedules while it is owner. */
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
            PlatformSchema catalog,
            HttpClient http,
            EventLoopGroup loop,
            Clock clock,
            EventRecorder events,
            NodeMetrics metrics) {
        mEvents = events;
        mControlExecutor = new SerialExecutor("control", loop);
        HealthTrackingStore store =
                new HealthTrackingStore(platformStore, mControlExecutor, clock, events);
        PeerClient peers =
                new PeerClient(
                        http,
                        settings.peerAddress(),
                        this::remoteOwnerAddress,
                        settings.seedPeers());
        mConfigCache = new ConfigCache(store, mControlExecutor, catalog, peers, clock, events);
        mOwnerService =
                new OwnerService(
                        store,
                        gateway,
                        policy,
                        catalog,
                        mConfigCache,
                        settings,
                        clock,
                        events,
                        metrics,
                        loop);
        JobStore jobs = new JobStore(store);
        mJobApi =
                new JobApi(
                        mConfigCache, jobs, mOwnerService, peers, mControlExecutor, clock, events);
        mPeerServer =
                new HttpServer(
                        settings.peerAddress(),
                        loop,
                        MAX_PEER_BODY_BYTES,
                        new PeerServer(mConfigCache, mOwnerService, jobs));
        metrics.registerGauge("lycheeroad_config_age_ms", mConfigCache::ageMs);
        metrics.registerGauge("lycheeroad_owner", () -> mOwnerService.isOwner() ? 1 : 0);
    }

    /** Starts; callers may be served once {@link #isReady} is true. */
    public void start() throws IOException {
        mEvents.record(EventCode.ENTRY_STARTED, "", "");
        mPeerServer.start();
        mControlExecutor.start();
        mConfigCache.start();
        mOwnerService.start();
    }

    /** Hands the ownership over and is no longer ready; calls are served until {@link #stop}. */
    public void drain() {
        mDraining = true;
        mEvents.record(EventCode.ENTRY_DRAINING, "", "");
        mOwnerService.resign();
    }

    /** Stops. */
    public void stop() {
        mEvents.record(EventCode.ENTRY_STOPPED, "", "");
        mConfigCache.stop();
        mOwnerService.stop();
        mControlExecutor.stop();
        mPeerServer.stop();
    }

    /** Returns whether new callers should be sent here. */
    public boolean isReady() {
        return !mDraining && mConfigCache.current().isPresent();
    }

    /** Returns whether the daemon is about to end. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Returns the interface for callers. */
    public JobApi jobApi() {
        return mJobApi;
    }

    private Optional<HostPort> remoteOwnerAddress() {
        return mOwnerService.remoteOwnerAddress();
    }
}
