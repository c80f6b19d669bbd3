package org.lycheeroad.scheduler;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.Optional;
import org.lycheeroad.scheduler.config.ConfigKeeper;
import org.lycheeroad.scheduler.intake.JobApi;
import org.lycheeroad.scheduler.intake.JobStore;
import org.lycheeroad.scheduler.log.Events;
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
    private static final int MAX_PEER_BODY = 1 << 20;

    private final Events mEvents;
    private final ConfigKeeper mConfig;
    private final OwnerService mOwner;
    private final JobApi mApi;
    private final Strand mControl;
    private final HttpServer mPeerServer;
    private volatile boolean mStopping;

    public SchedulerNode(
            NodeSettings settings,
            MetadataStore platformStore,
            WorkerGateway gateway,
            PlacementPolicy policy,
            PlatformSchema catalog,
            HttpClient http,
            EventLoopGroup loop,
            Clock clock,
            Events events,
            NodeMetrics metrics) {
        mEvents = events;
        mControl = new Strand("control", loop);
        StoreHealth store = new StoreHealth(platformStore, mControl, clock, events);
        PeerClient peers =
                new PeerClient(http, settings.peer(), this::otherOwner, settings.seeds());
        mConfig = new ConfigKeeper(store, mControl, catalog, peers, clock, events);
        mOwner =
                new OwnerService(
                        store, gateway, policy, catalog, mConfig, settings, clock, events, metrics,
                        loop);
        JobStore jobs = new JobStore(store);
        mApi = new JobApi(mConfig, jobs, mOwner, peers, mControl, clock, events);
        mPeerServer =
                new HttpServer(
                        settings.peer(),
                        loop,
                        MAX_PEER_BODY,
                        new PeerServer(mConfig, mOwner, jobs));
        metrics.gauge("lycheeroad_config_age_ms", mConfig::ageMs);
        metrics.gauge("lycheeroad_owner", () -> mOwner.isOwner() ? 1 : 0);
    }

    /** Starts; callers may be served once {@link #isReady} is true. */
    public void start() throws IOException {
        mEvents.record(EventCode.ENTRY_STARTED, "", "");
        mPeerServer.start();
        mControl.start();
        mConfig.start();
        mOwner.start();
    }

    /** Hands the ownership over and is no longer ready; calls are served until {@link #stop}. */
    public void drain() {
        mStopping = true;
        mEvents.record(EventCode.ENTRY_DRAINING, "", "");
        mOwner.resign();
    }

    /** Stops. */
    public void stop() {
        mEvents.record(EventCode.ENTRY_STOPPED, "", "");
        mConfig.stop();
        mOwner.stop();
        mControl.stop();
        mPeerServer.stop();
    }

    /** Returns whether new callers should be sent here. */
    public boolean isReady() {
        return !mStopping && mConfig.current().isPresent();
    }

    /** Returns whether the daemon is about to end. */
    public boolean isStopping() {
        return mStopping;
    }

    /** Returns the interface for callers. */
    public JobApi api() {
        return mApi;
    }

    private Optional<HostPort> otherOwner() {
        return mOwner.otherOwner();
    }
}
