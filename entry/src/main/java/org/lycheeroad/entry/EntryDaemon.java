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
import org.lycheeroad.entry.api.TableChecker;
import org.lycheeroad.entry.control.ControlListener;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.entry.duty.PlacementService;
import org.lycheeroad.entry.duty.VmListListener;
import org.lycheeroad.entry.duty.VmListPoller;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.entry.requests.BufferBudget;
import org.lycheeroad.entry.requests.Forwarder;
import org.lycheeroad.entry.requests.RequestIntake;
import org.lycheeroad.entry.requests.RouterDuty;
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
public final class EntryDaemon implements VmListListener, ControlListener {
    private static final Logger LOG = LoggerFactory.getLogger(EntryDaemon.class);
    private static final int CONNECT_MS = 1_000;
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** A caller that neither sends nor reads for this time loses its connection. */
    private static final long STALL_MS = 60_000;

    private static final int CONNECTIONS_PER_REQUEST = 2;
    private static final long POLL_MS = 20;

    /** Kept from the shutdown bound for handing over roles and closing connections. */
    private static final long HANDOVER_MS = 2_000;

    private final EntrySettings mSettings;
    private final ControlPlane mControl;
    private final EventLog mEvents;
    private final EntryMetrics mMetrics;
    private final PlacementService mPlacement;
    private final RouterDuty mRouter;
    private final Forwarder mForwarder;
    private final TableChecker mTables = new TableChecker();
    private final VmListPoller mVms;
    private final StreamingHttpServer mCallers;
    private final HttpServer mOperators;
    private final TargetClient mTargets;
    private final BufferBudget mBudget;
    private final AtomicBoolean mWasReady = new AtomicBoolean();
    private volatile boolean mLeaving;
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
        mControl = control;
        mEvents = events;
        mMetrics = metrics;
        HttpClient http = new HttpClient(controlLoop, CONNECT_MS, MAX_ANSWER_BYTES);
        mPlacement =
                new PlacementService(
                        settings.entryId(),
                        settings.region(),
                        placement,
                        control,
                        new WorkerClient(http),
                        events,
                        metrics);
        mRouter = new RouterDuty(router, control, metrics);
        mTargets = new TargetClient(requestLoop, CONNECT_MS, settings.connectionsPerTarget());
        mBudget = new BufferBudget(settings.bufferBytes());
        mForwarder =
                new Forwarder(
                        requestLoop,
                        mRouter,
                        control,
                        mTargets,
                        events,
                        metrics,
                        mBudget,
                        settings.entryId(),
                        settings.region(),
                        settings.maxRequests());
        mVms =
                new VmListPoller(
                        new VmListClient(http, settings.vmList()),
                        settings.vmPollMillis(),
                        this,
                        events);
        CallerApi callers =
                new CallerApi(
                        new GangApi(control, events, () -> mDraining),
                        new RequestIntake(mForwarder, control::currentTable, () -> mDraining),
                        this::isReady);
        mCallers =
                new StreamingHttpServer(
                        settings.listen(),
                        requestLoop,
                        MAX_BODY_BYTES,
                        settings.maxRequests() * CONNECTIONS_PER_REQUEST,
                        STALL_MS,
                        callers);
        mOperators =
                new HttpServer(
                        settings.opsListen(),
                        controlLoop,
                        MAX_BODY_BYTES,
                        new OperatorApi(
                                control,
                                events,
                                metrics,
                                this::statusJson,
                                mTables,
                                settings.opsToken()));
        control.addListener(mPlacement);
        control.addListener(mRouter);
        control.addListener(this);
        registerGauges();
    }

    /**
     * Starts everything.
     *
     * @throws IOException if an address cannot be bound
     */
    public void start() throws IOException {
        mEvents.start();
        mPlacement.start();
        mRouter.start(mForwarder::apply);
        mOperators.start();
        mCallers.start();
        mControl.start();
        mVms.start();
        mEvents.record(EventCode.ENTRY_STARTED, "");
        LOG.info(
                "{} listens for callers on {} and for operators on {}",
                mSettings.entryId(),
                mCallers.address(),
                mOperators.address());
    }

    /**
     * Shuts down without interrupting a request; returns within the configured bound.
     *
     * @return whether every request had ended
     */
    public boolean stop() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mSettings.drainBoundMillis());
        long handover = end - TimeUnit.MILLISECONDS.toNanos(HANDOVER_MS);
        mLeaving = true;
        mEvents.record(EventCode.ENTRY_DRAINING, "");
        // The balancer needs this time to notice; requests are still served.
        sleep(mSettings.drainWaitMillis());
        mCallers.stopAccepting();
        mDraining = true;
        mRouter.send(new RoutingEvent.Drain());
        while (mForwarder.inProgress() > 0 && System.nanoTime() - handover < 0) {
            sleep(POLL_MS);
        }
        int left = mForwarder.inProgress();
        if (left > 0) {
            mEvents.record(EventCode.DRAIN_INCOMPLETE, left + " requests");
        }
        mVms.stop();
        mControl.stop();
        mPlacement.stop();
        mRouter.stop();
        mCallers.closeConnections();
        mTargets.close();
        mOperators.stop();
        mEvents.record(EventCode.ENTRY_STOPPED, left + " requests left");
        mEvents.stop();
        return left == 0;
    }

    /** Returns whether the balancer may send callers to this entry; records each change. */
    public boolean isReady() {
        boolean ready = !mLeaving && mControl.isReady() && mVms.hasHandledList();
        if (mWasReady.getAndSet(ready) != ready) {
            mEvents.record(ready ? EventCode.ENTRY_READY : EventCode.ENTRY_NOT_READY, "");
        }
        return ready;
    }

    /** Returns the address on which callers connect. */
    public HostPort callerAddress() {
        return mCallers.address();
    }

    /** Returns the address on which operators connect. */
    public HostPort operatorAddress() {
        return mOperators.address();
    }

    @Override
    public void onTargetsChanged(List<TargetInfo> targets) {
        mForwarder.onTargets(targets);
        mRouter.onTargets(targets);
    }

    @Override
    public void onWorkersChanged(List<WorkerInfo> workers) {
        mTables.workersChanged(workers);
        mPlacement.onWorkersChanged(
                workers.stream().filter(w -> w.region().equals(mSettings.region())).toList());
    }

    @Override
    public void onEntriesChanged(List<ListedEntry> entries) {
        mControl.updateListedEntries(entries);
    }

    @Override
    public void onEvent(EventCode code, String text) {
        mEvents.record(code, text);
    }

    private String statusJson() {
        String own =
                Json.write(
                        Map.of(
                                "entry", mSettings.entryId(),
                                "region", mSettings.region(),
                                "ready", isReady(),
                                "draining", mDraining,
                                "requestsInProgress", mForwarder.inProgress(),
                                "callerConnections", mCallers.connections(),
                                "placementToken", mPlacement.heldToken()));
        return own.substring(0, own.length() - 1) + ",\"control\":" + mControl.statusJson() + "}";
    }

    private void registerGauges() {
        mMetrics.gauge("lycheeroad.duty.depth", "duty", "placement", mPlacement::queueLength);
        mMetrics.gauge("lycheeroad.duty.depth", "duty", "router", mRouter::depth);
        mMetrics.gauge("lycheeroad.duty.depth", "duty", "vm-list", mVms::queueLength);
        mMetrics.gauge("lycheeroad.duty.depth", "duty", "events", mEvents::depth);
        mMetrics.gauge("lycheeroad.events.lost.lines", "", "", mEvents::lostLines);
        mMetrics.gauge("lycheeroad.ready", "", "", () -> isReady() ? 1 : 0);
        mMetrics.gauge("lycheeroad.placement.token", "", "", mPlacement::heldToken);
        mMetrics.gauge("lycheeroad.requests.progress", "", "", mForwarder::inProgress);
        mMetrics.gauge("lycheeroad.caller.connections", "", "", mCallers::connections);
        mMetrics.gauge("lycheeroad.buffer.bytes", "", "", mBudget::used);
        mMetrics.gauge(
                "lycheeroad.table.version",
                "",
                "",
                () -> mControl.currentTable().map(OperatorTable::version).orElse(0L));
        for (Mechanism mechanism : Mechanism.values()) {
            String name = mechanism.name();
            mMetrics.counter(
                    "lycheeroad.store.calls",
                    "mechanism",
                    name,
                    () -> mControl.storeCallCounts().getOrDefault(name, 0L));
        }
        for (String role : mControl.heldTokens().keySet()) {
            mMetrics.gauge(
                    "lycheeroad.role.token",
                    "role",
                    role,
                    () -> mControl.heldTokens().getOrDefault(role, 0L));
        }
        for (JobState state : JobState.values()) {
            if (!state.isFinal()) {
                mMetrics.gauge(
                        "lycheeroad.jobs", "state", state.name(), () -> mPlacement.jobCount(state));
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
