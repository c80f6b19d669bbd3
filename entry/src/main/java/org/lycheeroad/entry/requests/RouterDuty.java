package org.lycheeroad.entry.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.limits.LinkLimit;
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
import org.lycheeroad.transport.duty.Duty;
import org.lycheeroad.transport.duty.DutyHandler;

/** Feeds the request router and hands its actions to the forwarder. */
public final class RouterDuty implements DutyHandler<RoutingEvent>, ControlListener {
    private static final int RING = 16_384;

    /**
     * New requests are refused from this depth on. The rest of the ring is for events of requests
     * already accepted, which must not be lost; each request has only a few of them outstanding.
     */
    private static final int MAX_ARRIVALS = 4_096;

    private static final long TICK_MS = 25;
    private static final long RETRY_MS = 20;
    private static final long PUBLISH_MS = 500;
    private static final long PUBLISH_NANOS = TimeUnit.MILLISECONDS.toNanos(PUBLISH_MS);

    private final RequestRouter mRouter;
    private final ControlPlane mControl;
    private final EntryMetrics mMetrics;
    private final Duty<RoutingEvent> mDuty;
    private final Map<LimitKey, Integer> mArrivals = new HashMap<>();
    private Consumer<List<RoutingAction>> mActions = actions -> {};
    private long mPublishedNanos = System.nanoTime();
    private volatile boolean mStopped;

    /** Creates the duty; it has to be added to the control plane as a listener. */
    public RouterDuty(RequestRouter router, ControlPlane control, EntryMetrics metrics) {
        mRouter = router;
        mControl = control;
        mMetrics = metrics;
        mDuty = new Duty<>("router", RING, TICK_MS, PUBLISH_MS, this);
    }

    /** Starts the thread; the consumer receives the actions on it. */
    public void start(Consumer<List<RoutingAction>> actions) {
        mActions = actions;
        mDuty.start();
    }

    /** Stops the thread. */
    public void stop() {
        mStopped = true;
        mDuty.stop();
    }

    /** Returns the number of messages waiting. */
    public int depth() {
        return mDuty.depth();
    }

    /** Offers a new request; returns false if it has to be shed. */
    public boolean arrive(RoutingEvent.RequestArrived event) {
        boolean accepted = mDuty.depth() < MAX_ARRIVALS && mDuty.offer(event);
        if (!accepted) {
            mMetrics.shed("router");
        }
        return accepted;
    }

    /** Passes on an event that must not be lost; it is offered again while the ring is full. */
    public void send(RoutingEvent event) {
        if (mDuty.offer(event) || mStopped) {
            return;
        }
        mMetrics.shed("router");
        CompletableFuture.delayedExecutor(RETRY_MS, TimeUnit.MILLISECONDS)
                .execute(() -> send(event));
    }

    /** Tells the router about the targets. */
    public void onTargets(List<TargetInfo> targets) {
        send(new RoutingEvent.TargetsChanged(targets));
    }

    @Override
    public void onTableChanged(OperatorTable table) {
        send(new RoutingEvent.TableChanged(table));
    }

    @Override
    public void onPeerLoadReported(EntryId entry, Map<TargetId, Integer> inFlight) {
        send(new RoutingEvent.PeerLoad(entry, inFlight));
    }

    @Override
    public void onRateShareChanged(LimitKey key, double perSecond) {
        send(new RoutingEvent.ShareChanged(key.team(), key.kind(), perSecond));
    }

    @Override
    public void handle(RoutingEvent event) {
        if (event instanceof RoutingEvent.RequestArrived arrived) {
            mArrivals.merge(new LimitKey(arrived.team(), arrived.kind()), 1, Integer::sum);
        }
        apply(event);
    }

    @Override
    public void tick() {
        apply(new RoutingEvent.Tick());
        long now = System.nanoTime();
        if (now - mPublishedNanos >= PUBLISH_NANOS) {
            publish(now);
        }
    }

    @Override
    public boolean isIdle() {
        return mRouter.open() == 0;
    }

    private void apply(RoutingEvent event) {
        List<RoutingAction> actions = mRouter.handle(event, nowMicros());
        if (actions.isEmpty()) {
            return;
        }
        mActions.accept(new ArrayList<>(actions));
    }

    private void publish(long now) {
        double seconds = (now - mPublishedNanos) / 1e9;
        mPublishedNanos = now;
        Map<LimitKey, Double> demand = new HashMap<>();
        mArrivals.forEach((key, count) -> demand.put(key, count / seconds));
        mArrivals.clear();
        demand.put(LinkLimit.KEY, mRouter.takeLinkDemand() / seconds);
        mControl.publishLoad(mRouter.takeLoad(nowMicros()), demand);
    }

    /** Returns the router's monotonic time in microseconds. */
    static long nowMicros() {
        return System.nanoTime() / 1_000;
    }
}
