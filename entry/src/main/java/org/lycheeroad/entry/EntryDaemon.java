package org.lycheeroad.entry;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lycheeroad.coordination.membership.ListedEntry;
import org.lycheeroad.coordination.placement.PlacementCore;
import org.lycheeroad.coordination.routing.RequestRouter;
import org.lycheeroad.coordination.routing.RoutingEvent;
import org.lycheeroad.entry.api.CallerApi;
import org.lycheeroad.entry.api.GangApi;
import org.lycheeroad.entry.api.OperatorApi;
import org.lycheeroad.entry.api.TableValidator;
import org.lycheeroad.entry.control.ControlListener;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.entry.duty.PlacementDuty;
import org.lycheeroad.entry.duty.VmListPoller;
import org.lycheeroad.entry.duty.VmListener;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.entry.requests.BufferBudget;
import org.lycheeroad.entry.requests.Forwarder;
import org.lycheeroad.entry.requests.RequestAdmission;
import org.lycheeroad.entry.requests.RouterLoop;
import org.lycheeroad.entry.settings.EntrySettings;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.TargetInfo;
import org.lycheeroad.state.topology.WorkerInfo;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.http.HttpServer;
import org.lycheeroad.transport.http.StreamingHttpServer;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.target.TargetClient;
import org.lycheeroad.transport.vm.VmListClient;
import org.lycheeroad.transport.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One entry: the duties, the servers and the order in which they start and stop.
 *
 * <p>Callers and targets share one event loop; peers, store, workers and operators use another, so
 * that a flood of requests delays no heartbeat.
 */
public final class EntryDaemon implements VmListener, ControlListener {
    private static final Logger LOG = LoggerFactory.getLogger(EntryDaemon.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** A caller that neither sends nor reads for this time loses its connection. */
    private static final long CALLER_STALL_TIMEOUT_MS = 60_000;

    private static final int MAX_CONNECTIONS_PER_REQUEST = 2;
    private static final long DRAIN_POLL_INTERVAL_MS = 20;

    /** Kept from the shutdown bound for handing over roles and closing connections. */
    private static final long HANDOVER_RESERVE_MS = 2_000;

    private final EntrySettings mSettings;
    private final ControlPlane mControlPlane;
    private final EventLog mEventLog;
    private final EntryMetrics mMetrics;
    private final PlacementDuty mPlacement;
    private final RouterLoop mRouterLoop;
    private final Forwarder mForwarder;
    private final TableValidator mTableValidator = new TableValidator();
    private final VmListPoller mVmListPoller;
    private final StreamingHttpServer mCallerServer;
    private final HttpServer mOperatorServer;
    private final TargetClient mTargetClient;
    private final BufferBudget mBufferBudget;
    private final AtomicBoolean mLastReportedReady = new AtomicBoolean();
    private volatile boolean mShuttingDown;
    private volatile boolean mDraining;

    /**
     * Creates a daemon that is not started yet.
     *
     * @param requestLoop serves callers and targets
     * @param controlLoop serves operators, workers and the VM list
     */
    public EntryDaemon(
            EntrySettings settings,
            ControlPlane control,
            PlacementCore placement,
            RequestRouter router,
            EventLog events,
            EntryMetrics metrics,
            EventLoop requestLoop,
            EventLoopGroup controlLoop) {
        mSettings = settings;
        mControlPlane = control;
        mEventLog = events;
        mMetrics = metrics;
        HttpClient http = new HttpClient(controlLoop, CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
        mPlacement =
                new PlacementDuty(
                        settings.entryId(),
                        settings.region(),
                        placement,
                        control,
                        new WorkerClient(http),
                        events,
                        metrics);
        mRouterLoop = new RouterLoop(router, control, metrics);
        mTargetClient =
                new TargetClient(
                        requestLoop, CONNECT_TIMEOUT_MS, settings.maxConnectionsPerTarget());
        mBufferBudget = new BufferBudget(settings.maxBufferBytes());
        mForwarder =
                new Forwarder(
                        requestLoop,
                        mRouterLoop,
                        control,
                        mTargetClient,
                        events,
                        metrics,
                        mBufferBudget,
                        settings.entryId(),
                        settings.region(),
                        settings.maxRequestsInProgress());
        mVmListPoller =
                new VmListPoller(
                        new VmListClient(http, settings.vmListAddress()),
                        settings.vmListPollIntervalMs(),
                        this,
                        events);
        CallerApi callers =
                new CallerApi(
                        new GangApi(control, events, () -> mDraining),
                        new RequestAdmission(mForwarder, control::table, () -> mDraining),
                        this::isReady);
        mCallerServer =
                new StreamingHttpServer(
                        settings.callerListenAddress(),
                        requestLoop,
                        MAX_BODY_BYTES,
                        settings.maxRequestsInProgress() * MAX_CONNECTIONS_PER_REQUEST,
                        CALLER_STALL_TIMEOUT_MS,
                        callers);
        mOperatorServer =
                new HttpServer(
                        settings.operatorListenAddress(),
                        controlLoop,
                        MAX_BODY_BYTES,
                        new OperatorApi(
                                control,
                                events,
                                metrics,
                                this::statusJson,
                                mTableValidator,
                                settings.operatorToken()));
        control.addListener(mPlacement);
        control.addListener(mRouterLoop);
        control.addListener(this);
        registerGauges();
    }

    /**
     * Starts everything.
     *
     * @throws IOException if an address cannot be bound
     */
    public void start() throws IOException {
        mEventLog.start();
        mPlacement.start();
        mRouterLoop.start(mForwarder::applyActions);
        mOperatorServer.start();
        mCallerServer.start();
        mControlPlane.start();
        mVmListPoller.start();
        mEventLog.record(EventCode.ENTRY_STARTED, "");
        LOG.info(
                "{} listens for callers on {} and for operators on {}",
                mSettings.entryId(),
                mCallerServer.address(),
                mOperatorServer.address());
    }

    /**
     * Shuts down without interrupting a request; returns within the configured bound.
     *
     * @return whether every request had ended
     */
    public boolean stop() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mSettings.shutdownTimeoutMs());
        long handover = end - TimeUnit.MILLISECONDS.toNanos(HANDOVER_RESERVE_MS);
        mShuttingDown = true;
        mEventLog.record(EventCode.ENTRY_DRAINING, "");
        // The balancer needs this time to notice; requests are still served.
        sleep(mSettings.notReadyDelayMs());
        mCallerServer.stopAccepting();
        mDraining = true;
        mRouterLoop.send(new RoutingEvent.Drain());
        while (mForwarder.requestsInProgress() > 0 && System.nanoTime() - handover < 0) {
            sleep(DRAIN_POLL_INTERVAL_MS);
        }
        int left = mForwarder.requestsInProgress();
        if (left > 0) {
            mEventLog.record(EventCode.DRAIN_INCOMPLETE, left + " requests");
        }
        mVmListPoller.stop();
        mControlPlane.stop();
        mPlacement.stop();
        mRouterLoop.stop();
        mCallerServer.closeConnections();
        mTargetClient.close();
        mOperatorServer.stop();
        mEventLog.record(EventCode.ENTRY_STOPPED, left + " requests left");
        mEventLog.stop();
        return left == 0;
    }

    /** Returns whether the balancer may send callers to this entry; records each change. */
    public boolean isReady() {
        boolean ready = !mShuttingDown && mControlPlane.isReady() && mVmListPoller.hasSeenList();
        if (mLastReportedReady.getAndSet(ready) != ready) {
            mEventLog.record(ready ? EventCode.ENTRY_READY : EventCode.ENTRY_NOT_READY, "");
        }
        return ready;
    }

    /** Returns the address on which callers connect. */
    public HostPort callerAddress() {
        return mCallerServer.address();
    }

    /** Returns the address on which operators connect. */
    public HostPort operatorAddress() {
        return mOperatorServer.address();
    }

    @Override
    public void onTargets(List<TargetInfo> targets) {
        mForwarder.onTargetsChanged(targets);
        mRouterLoop.onTargetsChanged(targets);
    }

    @Override
    public void onWorkers(List<WorkerInfo> workers) {
        mTableValidator.setWorkers(workers);
        mPlacement.onWorkers(
                workers.stream().filter(w -> w.region().equals(mSettings.region())).toList());
    }

    @Override
    public void onEntries(List<ListedEntry> entries) {
        mControlPlane.entriesListed(entries);
    }

    @Override
    public void onEvent(EventCode code, String text) {
        mEventLog.record(code, text);
    }

    private String statusJson() {
        String own =
                Json.write(
                        Map.of(
                                "entry", mSettings.entryId(),
                                "region", mSettings.region(),
                                "ready", isReady(),
                                "draining", mDraining,
                                "requestsInProgress", mForwarder.requestsInProgress(),
                                "callerConnections", mCallerServer.connections(),
                                "placementToken", mPlacement.token()));
        return own.substring(0, own.length() - 1)
                + ",\"control\":"
                + mControlPlane.statusJson()
                + "}";
    }

    private void registerGauges() {
        mMetrics.registerGauge("lycheeroad.duty.depth", "duty", "placement", mPlacement::depth);
        mMetrics.registerGauge("lycheeroad.duty.depth", "duty", "router", mRouterLoop::queueLength);
        mMetrics.registerGauge("lycheeroad.duty.depth", "duty", "vm-list", mVmListPoller::depth);
        mMetrics.registerGauge("lycheeroad.duty.depth", "duty", "events", mEventLog::depth);
        mMetrics.registerGauge("lycheeroad.events.lost.lines", "", "", mEventLog::lostLines);
        mMetrics.registerGauge("lycheeroad.ready", "", "", () -> isReady() ? 1 : 0);
        mMetrics.registerGauge("lycheeroad.placement.token", "", "", mPlacement::token);
        mMetrics.registerGauge(
                "lycheeroad.requests.progress", "", "", mForwarder::requestsInProgress);
        mMetrics.registerGauge("lycheeroad.caller.connections", "", "", mCallerServer::connections);
        mMetrics.registerGauge("lycheeroad.buffer.bytes", "", "", mBufferBudget::reservedBytes);
        mMetrics.registerGauge(
                "lycheeroad.table.version",
                "",
                "",
                () -> mControlPlane.table().map(OperatorTable::version).orElse(0L));
        for (Mechanism mechanism : Mechanism.values()) {
            String name = mechanism.name();
            mMetrics.registerCounter(
                    "lycheeroad.store.calls",
                    "mechanism",
                    name,
                    () -> mControlPlane.storeCalls().getOrDefault(name, 0L));
        }
        for (String role : mControlPlane.heldTokens().keySet()) {
            mMetrics.registerGauge(
                    "lycheeroad.role.token",
                    "role",
                    role,
                    () -> mControlPlane.heldTokens().getOrDefault(role, 0L));
        }
        for (JobState state : JobState.values()) {
            if (!state.isFinal()) {
                mMetrics.registerGauge(
                        "lycheeroad.jobs", "state", state.name(), () -> mPlacement.jobs(state));
            }
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
