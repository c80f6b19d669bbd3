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
 * Executes the router's actions: sends requests to targets and forwards their responses.
 *
 * <p>The state is confined to one event loop, which also serves the callers' connections. Only the
 * target map and the request count are accessed from other threads.
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
     * @param maxRequestsInProgress the limit on requests in progress; requests above it are
     *     answered with the outcome "not-run"
     */
    public Forwarder(
            EventLoop eventLoop,
            RouterLoop routerLoop,
            ControlPlane controlPlane,
            TargetClient targetClient,
            EventLog eventLog,
            EntryMetrics metrics,
            BufferBudget bufferBudget,
            EntryId localEntry,
            RegionId localRegion,
            int maxRequestsInProgress) {
        mEventLoop = eventLoop;
        mRouterLoop = routerLoop;
        mControlPlane = controlPlane;
        mTargetClient = targetClient;
        mEventLog = eventLog;
        mMetrics = metrics;
        mBufferBudget = bufferBudget;
        mLocalRegion = localRegion;
        mMaxRequestsInProgress = maxRequestsInProgress;
        // The start time keeps request ids unique across restarts of the entry.
        mRequestIdPrefix =
                localEntry + "-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    }

    /** Replaces the known targets; may be called from any thread. */
    public void onTargetsChanged(List<TargetInfo> targets) {
        Map<TargetId, TargetInfo> targetById = new HashMap<>();
        targets.forEach(target -> targetById.put(target.id(), target));
        mTargetById = targetById;
    }

    /** Executes actions of the router on the event loop; may be called from any thread. */
    public void applyActions(List<RoutingAction> actions) {
        mEventLoop.execute(() -> actions.forEach(this::applyOnEventLoop));
    }

    /** Returns the number of requests in progress. */
    public int requestsInProgress() {
        return mRequestsInProgress;
    }

    /** Starts a request, or returns null if the limit on requests in progress is reached. */
    RequestExchange tryOpen(HttpStream stream, RequestExchange.RequestMetadata metadata) {
        if (mExchangeById.size() >= mMaxRequestsInProgress) {
            return null;
        }
        RequestId id =
                new RequestId(mRequestIdPrefix + "-" + mLastSequenceNumber.incrementAndGet());
        RequestExchange exchange = new RequestExchange(this, id, metadata, stream);
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

    /** Returns the description of a target, or null if it is no longer listed. */
    TargetInfo findTarget(TargetId id) {
        return mTargetById.get(id);
    }

    /**
     * Reports the bytes that an attempt sent and received over the inter-region link.
     *
     * <p>The router holds the link budget that it reserved for the attempt until this report.
     */
    void reportLinkBytes(
            RequestId request, int attempt, long sentBytes, long receivedBytes, boolean complete) {
        mRouterLoop.send(
                new RoutingEvent.LinkBytesCounted(
                        request, attempt, sentBytes, receivedBytes, complete));
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
            if (reject.outcome() != RequestOutcome.NOT_RUN) {
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
        RequestExchange.RequestMetadata metadata = exchange.metadata();
        mClaimKeyByRequest.put(
                id, new ClaimKey(metadata.team().value(), metadata.idempotencyKey()));
        mControlPlane
                .claim(metadata.team().value(), metadata.idempotencyKey(), id.value())
                .whenComplete(
                        (result, e) -> {
                            ClaimResult claimResult = e == null ? result : ClaimResult.UNAVAILABLE;
                            mEventLog.record(
                                    EventCode.CLAIM_ANSWERED,
                                    "",
                                    id.value(),
                                    metadata.team().value(),
                                    claimResult.name());
                            if (claimResult != ClaimResult.GRANTED) {
                                mEventLoop.execute(() -> mClaimKeyByRequest.remove(id));
                            }
                            mRouterLoop.send(new RoutingEvent.ClaimAnswered(id, claimResult));
                        });
    }

    /** The team and idempotency key under which a request's claim is stored. */
    private record ClaimKey(String team, String key) {}
}
