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
import org.lycheeroad.entry.duty.PlacementService;
import org.lycheeroad.entry.duty.VmListListener;
import org.lycheeroad.entry.duty.VmListPoller;
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
 * Wires the components of one entry together and starts and stops them in order.
 *
 * <p>Connections to callers and targets share one event loop. Peers, the store, workers and
 * operators use another one, so that high request load does not delay heartbeats.
 */
public final class EntryDaemon implements VmListListener, ControlListener {
    private static final Logger LOG = LoggerFactory.getLogger(EntryDaemon.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** Time without progress in either direction after which a caller's connection is closed. */
    private static final long CALLER_STALL_TIMEOUT_MS = 60_000;

    private static final int MAX_CONNECTIONS_PER_REQUEST = 2;
    private static final long DRAIN_POLL_INTERVAL_MS = 20;

    /** Part of the shutdown timeout reserved for handing over roles and closing connections. */
    private static final long HANDOVER_RESERVE_MS = 2_000;

    private final EntrySettings mSettings;
    private final ControlPlane mControlPlane;
    private final EventLog mEventLog;
    private final EntryMetrics mMetrics;
    private final PlacementService mPlacement;
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
     * Creates the daemon without starting it.
     *
     * @param requestLoop the event loop for connections to callers and targets
     * @param controlLoop the event loops for connections to operators, workers and the VM list
     */
    public EntryDaemon(
            EntrySettings settings,
            ControlPlane controlPlane,
            PlacementCore placement,
            RequestRouter router,
            EventLog eventLog,
            EntryMetrics metrics,
            EventLoop requestLoop,
            EventLoopGroup controlLoop) {
        mSettings = settings;
        mControlPlane = controlPlane;
        mEventLog = eventLog;
        mMetrics = metrics;
        HttpClient http = new HttpClient(controlLoop, CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
        mPlacement =
                new PlacementService(
                        settings.entryId(),
                        settings.region(),
                        placement,
                        controlPlane,
                        new WorkerClient(http),
                        eventLog,
                        metrics);
        mRouterLoop = new RouterLoop(router, controlPlane, metrics);
        mTargetClient =
                new TargetClient(
                        requestLoop, CONNECT_TIMEOUT_MS, settings.maxConnectionsPerTarget());
        mBufferBudget = new BufferBudget(settings.maxBufferBytes());
        mForwarder =
                new Forwarder(
                        requestLoop,
                        mRouterLoop,
                        controlPlane,
                        mTargetClient,
                        eventLog,
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
                        eventLog);
        CallerApi callerApi =
                new CallerApi(
                        new GangApi(controlPlane, eventLog, () -> mDraining),
                        new RequestAdmission(
                                mForwarder, controlPlane::currentTable, () -> mDraining),
                        this::isReady);
        mCallerServer =
                new StreamingHttpServer(
                        settings.callerListenAddress(),
                        requestLoop,
                        MAX_BODY_BYTES,
                        settings.maxRequestsInProgress() * MAX_CONNECTIONS_PER_REQUEST,
                        CALLER_STALL_TIMEOUT_MS,
                        callerApi);
        mOperatorServer =
                new HttpServer(
                        settings.operatorListenAddress(),
                        controlLoop,
                        MAX_BODY_BYTES,
                        new OperatorApi(
                                controlPlane,
                                eventLog,
                                metrics,
                                this::statusJson,
                                mTableValidator,
                                settings.operatorToken()));
        controlPlane.addListener(mPlacement);
        controlPlane.addListener(mRouterLoop);
        controlPlane.addListener(this);
        registerGauges();
    }

    /**
     * Starts all components.
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
                "Entry {} listens on {} for callers and on {} for operators",
                mSettings.entryId(),
                mCallerServer.address(),
                mOperatorServer.address());
    }

    /**
     * Shuts down gracefully: waits for the requests in progress, but at most for the configured
     * shutdown timeout.
     *
     * @return whether all requests completed
     */
    public boolean stop() {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mSettings.shutdownTimeoutMs());
        long drainDeadlineNanos =
                deadlineNanos - TimeUnit.MILLISECONDS.toNanos(HANDOVER_RESERVE_MS);
        mShuttingDown = true;
        mEventLog.record(EventCode.ENTRY_DRAINING, "");
        // Requests are still served until the load balancer has seen the failing readiness check.
        sleep(mSettings.notReadyDelayMs());
        mCallerServer.stopAccepting();
        mDraining = true;
        mRouterLoop.send(new RoutingEvent.DrainStarted());
        while (mForwarder.requestsInProgress() > 0 && System.nanoTime() - drainDeadlineNanos < 0) {
            sleep(DRAIN_POLL_INTERVAL_MS);
        }
        int remainingRequests = mForwarder.requestsInProgress();
        if (remainingRequests > 0) {
            mEventLog.record(EventCode.DRAIN_INCOMPLETE, remainingRequests + " requests");
        }
        mVmListPoller.stop();
        mControlPlane.stop();
        mPlacement.stop();
        mRouterLoop.stop();
        mCallerServer.closeConnections();
        mTargetClient.closeIdleConnections();
        mOperatorServer.stop();
        mEventLog.record(EventCode.ENTRY_STOPPED, remainingRequests + " requests left");
        mEventLog.stop();
        return remainingRequests == 0;
    }

    /**
     * Returns whether the load balancer may use this entry, and records an event on each change.
     */
    public boolean isReady() {
        boolean ready = !mShuttingDown && mControlPlane.isReady() && mVmListPoller.hasHandledList();
        if (mLastReportedReady.getAndSet(ready) != ready) {
            mEventLog.record(ready ? EventCode.ENTRY_READY : EventCode.ENTRY_NOT_READY, "");
        }
        return ready;
    }

    /** Returns the address of the callers' server. */
    public HostPort callerAddress() {
        return mCallerServer.address();
    }

    /** Returns the address of the operators' server. */
    public HostPort operatorAddress() {
        return mOperatorServer.address();
    }

    @Override
    public void onTargetsChanged(List<TargetInfo> targets) {
        mForwarder.onTargetsChanged(targets);
        mRouterLoop.onTargetsChanged(targets);
    }

    @Override
    public void onWorkersChanged(List<WorkerInfo> workers) {
        mTableValidator.setWorkers(workers);
        mPlacement.onWorkersChanged(
                workers.stream()
                        .filter(worker -> worker.region().equals(mSettings.region()))
                        .toList());
    }

    @Override
    public void onEntriesChanged(List<ListedEntry> entries) {
        mControlPlane.updateListedEntries(entries);
    }

    @Override
    public void onEvent(EventCode code, String text) {
        mEventLog.record(code, text);
    }

    private String statusJson() {
        String entryStatus =
                Json.write(
                        Map.of(
                                "entry", mSettings.entryId(),
                                "region", mSettings.region(),
                                "ready", isReady(),
                                "draining", mDraining,
                                "requestsInProgress", mForwarder.requestsInProgress(),
                                "callerConnections", mCallerServer.connectionCount(),
                                "placementToken", mPlacement.heldToken()));
        return entryStatus.substring(0, entryStatus.length() - 1)
                + ",\"control\":"
                + mControlPlane.statusJson()
                + "}";
    }

    private void registerGauges() {
        mMetrics.registerGauge(
                "lycheeroad.duty.depth", "duty", "placement", mPlacement::queueLength);
        mMetrics.registerGauge("lycheeroad.duty.depth", "duty", "router", mRouterLoop::queueLength);
        mMetrics.registerGauge(
                "lycheeroad.duty.depth", "duty", "vm-list", mVmListPoller::queueLength);
        mMetrics.registerGauge(
                "lycheeroad.duty.depth", "duty", "events", mEventLog::lineQueueLength);
        mMetrics.registerGauge("lycheeroad.events.lost.lines", "", "", mEventLog::lostLineCount);
        mMetrics.registerGauge("lycheeroad.ready", "", "", () -> isReady() ? 1 : 0);
        mMetrics.registerGauge("lycheeroad.placement.token", "", "", mPlacement::heldToken);
        mMetrics.registerGauge(
                "lycheeroad.requests.progress", "", "", mForwarder::requestsInProgress);
        mMetrics.registerGauge(
                "lycheeroad.caller.connections", "", "", mCallerServer::connectionCount);
        mMetrics.registerGauge("lycheeroad.buffer.bytes", "", "", mBufferBudget::reservedBytes);
        mMetrics.registerGauge(
                "lycheeroad.table.version",
                "",
                "",
                () -> mControlPlane.currentTable().map(OperatorTable::version).orElse(0L));
        for (Mechanism mechanism : Mechanism.values()) {
            String name = mechanism.name();
            mMetrics.registerCounter(
                    "lycheeroad.store.calls",
                    "mechanism",
                    name,
                    () -> mControlPlane.storeCallCounts().getOrDefault(name, 0L));
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
                        "lycheeroad.jobs", "state", state.name(), () -> mPlacement.jobCount(state));
            }
        }
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
