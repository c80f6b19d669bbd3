package org.lycheeroad.entry.requests;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.lycheeroad.coordination.routing.ClaimResult;
import org.lycheeroad.coordination.routing.RequestOutcome;
import org.lycheeroad.coordination.routing.RoutingAction;
import org.lycheeroad.coordination.routing.RoutingEvent;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.topology.TargetInfo;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.http.HttpStream;
import org.lycheeroad.transport.target.TargetClient;

/**
 * Carries out the router's decisions: sends requests to targets and relays their answers.
 *
 * <p>All state is on one event loop, which also serves the callers' connections.
 */
public final class Forwarder {
    private final EventLoop mLoop;
    private final RouterDuty mRouter;
    private final ControlPlane mControl;
    private final TargetClient mTargets;
    private final EventLog mEvents;
    private final EntryMetrics mMetrics;
    private final BufferBudget mBudget;
    private final RegionId mRegion;
    private final String mIdPrefix;
    private final int mMaxRequests;
    private final AtomicLong mSequence = new AtomicLong();
    private final Map<RequestId, RequestExchange> mExchanges = new HashMap<>();
    private final Map<RequestId, ClaimKey> mClaims = new HashMap<>();

    private volatile Map<TargetId, TargetInfo> mTargetInfos = Map.of();
    private volatile int mInProgress;

    /**
     * Creates a forwarder.
     *
     * @param maxRequests further requests are told "not run"
     */
    public Forwarder(
            EventLoop loop,
            RouterDuty router,
            ControlPlane control,
            TargetClient targets,
            EventLog events,
            EntryMetrics metrics,
            BufferBudget budget,
            EntryId entry,
            RegionId region,
            int maxRequests) {
        mLoop = loop;
        mRouter = router;
        mControl = control;
        mTargets = targets;
        mEvents = events;
        mMetrics = metrics;
        mBudget = budget;
        mRegion = region;
        mMaxRequests = maxRequests;
        // Distinguishes the requests of a restarted entry from those of its predecessor.
        mIdPrefix = entry + "-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    }

    /** Tells the forwarder the addresses of the targets. */
    public void onTargets(List<TargetInfo> targets) {
        Map<TargetId, TargetInfo> infos = new HashMap<>();
        targets.forEach(target -> infos.put(target.id(), target));
        mTargetInfos = infos;
    }

    /** Carries out actions of the router; may be called from any thread. */
    public void apply(List<RoutingAction> actions) {
        mLoop.execute(() -> actions.forEach(this::applyOnLoop));
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return mInProgress;
    }

    /** Starts a request, or returns null when too many are in progress. */
    RequestExchange open(HttpStream stream, RequestExchange.Head head) {
        if (mExchanges.size() >= mMaxRequests) {
            return null;
        }
        RequestId id = new RequestId(mIdPrefix + "-" + mSequence.incrementAndGet());
        RequestExchange exchange = new RequestExchange(this, id, head, stream);
        mExchanges.put(id, exchange);
        mInProgress = mExchanges.size();
        return exchange;
    }

    void forget(RequestId id) {
        mExchanges.remove(id);
        mInProgress = mExchanges.size();
    }

    RouterDuty router() {
        return mRouter;
    }

    TargetClient targets() {
        return mTargets;
    }

    BufferBudget budget() {
        return mBudget;
    }

    EventLog events() {
        return mEvents;
    }

    EntryMetrics metrics() {
        return mMetrics;
    }

    /** Returns where a target is, or null if it is no longer listed. */
    TargetInfo target(TargetId id) {
        return mTargetInfos.get(id);
    }

    /** Tells the router what an attempt sent over the link; the link stays charged until then. */
    void linkBytes(RequestId request, int attempt, long sent, long received, boolean whole) {
        mRouter.send(new RoutingEvent.LinkBytesCounted(request, attempt, sent, received, whole));
    }

    boolean isRemote(TargetInfo target) {
        return !target.region().equals(mRegion);
    }

    private void applyOnLoop(RoutingAction action) {
        if (action instanceof RoutingAction.StartClaim claim) {
            claim(claim.request());
        } else if (action instanceof RoutingAction.ReleaseClaim release) {
            ClaimKey key = mClaims.remove(release.request());
            if (key != null) {
                mControl.releaseClaim(key.team(), key.key(), release.request().value());
            }
        } else if (action instanceof RoutingAction.Dispatch dispatch) {
            RequestExchange exchange = mExchanges.get(dispatch.request());
            if (exchange != null) {
                exchange.dispatch(dispatch.attempt(), dispatch.target());
            } else {
                linkBytes(dispatch.request(), dispatch.attempt(), 0, 0, false);
            }
        } else if (action instanceof RoutingAction.AbortAttempt abort) {
            RequestExchange exchange = mExchanges.get(abort.request());
            if (exchange != null) {
                exchange.abort(abort.attempt());
            }
        } else if (action instanceof RoutingAction.Reject reject) {
            RequestExchange exchange = mExchanges.get(reject.request());
            if (reject.outcome() != RequestOutcome.NOT_RUN) {
                mClaims.remove(reject.request());
            }
            if (exchange != null) {
                exchange.reject(reject.outcome(), reject.reason());
            }
        } else if (action instanceof RoutingAction.RequestFinished finished) {
            RequestExchange exchange = mExchanges.get(finished.request());
            mClaims.remove(finished.request());
            if (exchange != null) {
                exchange.finish(finished.attempt());
            }
        }
    }

    private void claim(RequestId id) {
        RequestExchange exchange = mExchanges.get(id);
        if (exchange == null) {
            mRouter.send(new RoutingEvent.ClaimAnswered(id, ClaimResult.UNAVAILABLE));
            return;
        }
        RequestExchange.Head head = exchange.head();
        mClaims.put(id, new ClaimKey(head.team().value(), head.idempotencyKey()));
        mControl.claim(head.team().value(), head.idempotencyKey(), id.value())
                .whenComplete(
                        (result, e) -> {
                            ClaimResult answer = e == null ? result : ClaimResult.UNAVAILABLE;
                            mEvents.record(
                                    EventCode.CLAIM_ANSWERED,
                                    "",
                                    id.value(),
                                    head.team().value(),
                                    answer.name());
                            if (answer != ClaimResult.GRANTED) {
                                mLoop.execute(() -> mClaims.remove(id));
                            }
                            mRouter.send(new RoutingEvent.ClaimAnswered(id, answer));
                        });
    }

    /** Where the claim of a request is, until the request has ended. */
    private record ClaimKey(String team, String key) {}
}
