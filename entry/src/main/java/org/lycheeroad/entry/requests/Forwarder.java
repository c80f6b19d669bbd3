package org.lycheeroad.entry.requests;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.lycheeroad.coordination.routing.ClaimResult;
import org.lycheeroad.coordination.routing.Outcome;
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
    private final EventLoop mEventLoop;
    private final RouterLoop mRouterLoop;
    private final ControlPlane mControlPlane;
    private final TargetClient mTargetClient;
    private final EventLog mEventLog;
    private final EntryMetrics mMetrics;
    private final BufferBudget mBufferBudget;
    private final RegionId mLocalRegion;
    private final String mRequestIdPrefix;
    private final int mMaxRequestsInProgress;
    private final AtomicLong mLastSequenceNumber = new AtomicLong();
    private final Map<RequestId, RequestExchange> mExchangeById = new HashMap<>();
    private final Map<RequestId, ClaimKey> mClaimKeyByRequest = new HashMap<>();

    private volatile Map<TargetId, TargetInfo> mTargetById = Map.of();
    private volatile int mRequestsInProgress;

    /**
     * Creates a forwarder.
     *
     * @param maxRequests further requests are told "not run"
     */
    public Forwarder(
            EventLoop loop,
            RouterLoop router,
            ControlPlane control,
            TargetClient targets,
            EventLog events,
            EntryMetrics metrics,
            BufferBudget budget,
            EntryId entry,
            RegionId region,
            int maxRequests) {
        mEventLoop = loop;
        mRouterLoop = router;
        mControlPlane = control;
        mTargetClient = targets;
        mEventLog = events;
        mMetrics = metrics;
        mBufferBudget = budget;
        mLocalRegion = region;
        mMaxRequestsInProgress = maxRequests;
        // Distinguishes the requests of a restarted entry from those of its predecessor.
        mRequestIdPrefix =
                entry + "-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    }

    /** Tells the forwarder the addresses of the targets. */
    public void onTargetsChanged(List<TargetInfo> targets) {
        Map<TargetId, TargetInfo> infos = new HashMap<>();
        targets.forEach(target -> infos.put(target.id(), target));
        mTargetById = infos;
    }

    /** Carries out actions of the router; may be called from any thread. */
    public void applyActions(List<RoutingAction> actions) {
        mEventLoop.execute(() -> actions.forEach(this::applyOnEventLoop));
    }

    /** Returns the number of requests in progress. */
    public int requestsInProgress() {
        return mRequestsInProgress;
    }

    /** Starts a request, or returns null when too many are in progress. */
    RequestExchange tryOpen(HttpStream stream, RequestExchange.RequestMetadata head) {
        if (mExchangeById.size() >= mMaxRequestsInProgress) {
            return null;
        }
        RequestId id =
                new RequestId(mRequestIdPrefix + "-" + mLastSequenceNumber.incrementAndGet());
        RequestExchange exchange = new RequestExchange(this, id, head, stream);
        mExchangeById.put(id, exchange);
        mRequestsInProgress = mExchangeById.size();
        return exchange;
    }

    void remove(RequestId id) {
        mExchangeById.remove(id);
        mRequestsInProgress = mExchangeById.size();
    }

    RouterLoop routerLoop() {
        return mRouterLoop;
    }

    TargetClient targetClient() {
        return mTargetClient;
    }

    BufferBudget bufferBudget() {
        return mBufferBudget;
    }

    EventLog eventLog() {
        return mEventLog;
    }

    EntryMetrics metrics() {
        return mMetrics;
    }

    /** Returns where a target is, or null if it is no longer listed. */
    TargetInfo findTarget(TargetId id) {
        return mTargetById.get(id);
    }

    /** Tells the router what an attempt sent over the link; the link stays charged until then. */
    void reportLinkBytes(RequestId request, int attempt, long sent, long received, boolean whole) {
        mRouterLoop.send(new RoutingEvent.LinkBytes(request, attempt, sent, received, whole));
    }

    boolean isInOtherRegion(TargetInfo target) {
        return !target.region().equals(mLocalRegion);
    }

    private void applyOnEventLoop(RoutingAction action) {
        if (action instanceof RoutingAction.StartClaim claim) {
            requestClaim(claim.request());
        } else if (action instanceof RoutingAction.ReleaseClaim release) {
            ClaimKey key = mClaimKeyByRequest.remove(release.request());
            if (key != null) {
                mControlPlane.releaseClaim(key.team(), key.key(), release.request().value());
            }
        } else if (action instanceof RoutingAction.Dispatch dispatch) {
            RequestExchange exchange = mExchangeById.get(dispatch.request());
            if (exchange != null) {
                exchange.dispatch(dispatch.attempt(), dispatch.target());
            } else {
                reportLinkBytes(dispatch.request(), dispatch.attempt(), 0, 0, false);
            }
        } else if (action instanceof RoutingAction.AbortAttempt abort) {
            RequestExchange exchange = mExchangeById.get(abort.request());
            if (exchange != null) {
                exchange.abortAttempt(abort.attempt());
            }
        } else if (action instanceof RoutingAction.Reject reject) {
            RequestExchange exchange = mExchangeById.get(reject.request());
            if (reject.outcome() != Outcome.NOT_RUN) {
                mClaimKeyByRequest.remove(reject.request());
            }
            if (exchange != null) {
                exchange.respondRejected(reject.outcome(), reject.reason());
            }
        } else if (action instanceof RoutingAction.RequestFinished finished) {
            RequestExchange exchange = mExchangeById.get(finished.request());
            mClaimKeyByRequest.remove(finished.request());
            if (exchange != null) {
                exchange.respondWithAttempt(finished.attempt());
            }
        }
    }

    private void requestClaim(RequestId id) {
        RequestExchange exchange = mExchangeById.get(id);
        if (exchange == null) {
            mRouterLoop.send(new RoutingEvent.ClaimAnswered(id, ClaimResult.UNAVAILABLE));
            return;
        }
        RequestExchange.RequestMetadata head = exchange.metadata();
        mClaimKeyByRequest.put(id, new ClaimKey(head.team().value(), head.idempotencyKey()));
        mControlPlane
                .claim(head.team().value(), head.idempotencyKey(), id.value())
                .whenComplete(
                        (result, e) -> {
                            ClaimResult answer = e == null ? result : ClaimResult.UNAVAILABLE;
                            mEventLog.record(
                                    EventCode.CLAIM_ANSWERED,
                                    "",
                                    id.value(),
                                    head.team().value(),
                                    answer.name());
                            if (answer != ClaimResult.GRANTED) {
                                mEventLoop.execute(() -> mClaimKeyByRequest.remove(id));
                            }
                            mRouterLoop.send(new RoutingEvent.ClaimAnswered(id, answer));
                        });
    }

    /** Where the claim of a request is, until the request has ended. */
    private record ClaimKey(String team, String key) {}
}
