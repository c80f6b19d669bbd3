package org.lycheeroad.entry.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lycheeroad.coordination.limits.InterRegionLinkLimit;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.routing.RequestRouter;
import org.lycheeroad.coordination.routing.RoutingAction;
import org.lycheeroad.coordination.routing.RoutingEvent;
import org.lycheeroad.entry.control.ControlListener;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.topology.TargetInfo;
import org.lycheeroad.transport.duty.MessageLoop;
import org.lycheeroad.transport.duty.MessageLoopHandler;

/** Runs the request router on its own thread and passes its actions to the forwarder. */
public final class RouterLoop implements MessageLoopHandler<RoutingEvent>, ControlListener {
    private static final int QUEUE_CAPACITY = 16_384;

    /**
     * Queue length from which new requests are rejected. The rest of the queue is reserved for
     * events of accepted requests, which must not be lost; each request has only a few pending.
     */
    private static final int MAX_QUEUE_LENGTH_FOR_NEW_REQUESTS = 4_096;

    private static final long TICK_INTERVAL_MS = 25;
    private static final long RETRY_DELAY_MS = 20;
    private static final long PUBLISH_INTERVAL_MS = 500;
    private static final long PUBLISH_INTERVAL_NANOS =
            TimeUnit.MILLISECONDS.toNanos(PUBLISH_INTERVAL_MS);

    private final RequestRouter mRouter;
    private final ControlPlane mControlPlane;
    private final EntryMetrics mMetrics;
    private final MessageLoop<RoutingEvent> mLoop;
    private final Map<LimitKey, Integer> mArrivalCounts = new HashMap<>();
    private Consumer<List<RoutingAction>> mActionConsumer = actions -> {};
    private long mLastPublishNanos = System.nanoTime();
    private volatile boolean mStopped;

    /** Creates the loop, which must be added to the control plane as a listener. */
    public RouterLoop(RequestRouter router, ControlPlane controlPlane, EntryMetrics metrics) {
        mRouter = router;
        mControlPlane = controlPlane;
        mMetrics = metrics;
        mLoop =
                new MessageLoop<>(
                        "router", QUEUE_CAPACITY, TICK_INTERVAL_MS, PUBLISH_INTERVAL_MS, this);
    }

    /** Starts the router's thread, on which the consumer receives the actions. */
    public void start(Consumer<List<RoutingAction>> actions) {
        mActionConsumer = actions;
        mLoop.start();
    }

    /** Stops the router's thread. */
    public void stop() {
        mStopped = true;
        mLoop.stop();
    }

    /** Returns the number of queued events. */
    public int queueLength() {
        return mLoop.queueLength();
    }

    /** Enqueues a new request, or returns false if it is shed because of the queue length. */
    public boolean offerRequest(RoutingEvent.RequestArrived event) {
        boolean accepted =
                mLoop.queueLength() < MAX_QUEUE_LENGTH_FOR_NEW_REQUESTS && mLoop.offer(event);
        if (!accepted) {
            mMetrics.countShed("router");
        }
        return accepted;
    }

    /** Enqueues an event that must not be lost, and retries while the queue is full. */
    public void send(RoutingEvent event) {
        if (mLoop.offer(event) || mStopped) {
            return;
        }
        mMetrics.countShed("router");
        CompletableFuture.delayedExecutor(RETRY_DELAY_MS, TimeUnit.MILLISECONDS)
                .execute(() -> send(event));
    }

    /** Sends the list of targets to the router. */
    public void onTargetsChanged(List<TargetInfo> targets) {
        send(new RoutingEvent.TargetsChanged(targets));
    }

    @Override
    public void onTableChanged(OperatorTable table) {
        send(new RoutingEvent.TableChanged(table));
    }

    @Override
    public void onPeerLoadReported(EntryId entry, Map<TargetId, Integer> inFlight) {
        send(new RoutingEvent.PeerLoadReported(entry, inFlight));
    }

    @Override
    public void onRateShareChanged(LimitKey key, double perSecond) {
        send(new RoutingEvent.ShareChanged(key.team(), key.kind(), perSecond));
    }

    @Override
    public void handle(RoutingEvent event) {
        if (event instanceof RoutingEvent.RequestArrived arrived) {
            mArrivalCounts.merge(new LimitKey(arrived.team(), arrived.kind()), 1, Integer::sum);
        }
        apply(event);
    }

    @Override
    public void tick() {
        apply(new RoutingEvent.Tick());
        long nowNanos = System.nanoTime();
        if (nowNanos - mLastPublishNanos >= PUBLISH_INTERVAL_NANOS) {
            publishLoad(nowNanos);
        }
    }

    @Override
    public boolean isIdle() {
        return mRouter.openRequestCount() == 0;
    }

    private void apply(RoutingEvent event) {
        List<RoutingAction> actions = mRouter.handle(event, nowMicros());
        if (actions.isEmpty()) {
            return;
        }
        mActionConsumer.accept(new ArrayList<>(actions));
    }

    private void publishLoad(long nowNanos) {
        double elapsedSeconds = (nowNanos - mLastPublishNanos) / 1e9;
        mLastPublishNanos = nowNanos;
        Map<LimitKey, Double> demandPerSecond = new HashMap<>();
        mArrivalCounts.forEach((key, count) -> demandPerSecond.put(key, count / elapsedSeconds));
        mArrivalCounts.clear();
        demandPerSecond.put(
                InterRegionLinkLimit.KEY, mRouter.takeLinkDemandBytes() / elapsedSeconds);
        mControlPlane.publishLoad(mRouter.takeLoadReport(nowMicros()), demandPerSecond);
    }

    /** Returns the current time of the router's monotonic clock. */
    static long nowMicros() {
        return System.nanoTime() / 1_000;
    }
}
