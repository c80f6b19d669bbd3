package org.lycheeroad.benchmarks.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.lycheeroad.coordination.routing.RequestRouter;
import org.lycheeroad.coordination.routing.RoutingAction;
import org.lycheeroad.coordination.routing.RoutingEvent;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.id.TeamId;

/**
 * Adds request hedging to another router, as an experiment.
 *
 * <p>A request that is open for longer than most requests of its kind gets a copy. The wrapped
 * router handles the copy as a separate request; attempts of copies have numbers from {@link
 * #COPY_ATTEMPT_OFFSET}. The first answer ends the original and the copy. Since both can be
 * processed, all requests must be repeatable.
 */
final class HedgingRouter implements RequestRouter {
    private static final int COPY_ATTEMPT_OFFSET = 1_000;
    private static final String COPY_SUFFIX = "-copy";
    private static final double HEDGE_DELAY_PERCENTILE = 95;
    private static final long MIN_LATENCY_SAMPLES = 100;

    /** How much each request adds to the number of copies that its team may send. */
    private static final double COPY_BUDGET_PER_REQUEST = 0.05;

    /** The maximum number of unused copies that a team accumulates; each team starts with it. */
    private static final double MAX_COPY_BUDGET = 20;

    private static final long MAX_LATENCY_MICROS = 120_000_000;

    private static final class OpenRequest {
        final RoutingEvent.RequestArrived mArrived;
        final long mArrivedMicros;
        boolean mCopied;

        OpenRequest(RoutingEvent.RequestArrived arrived, long nowMicros) {
            mArrived = arrived;
            mArrivedMicros = nowMicros;
        }
    }

    private final RequestRouter mRouter;
    private final Map<RequestId, OpenRequest> mOpenRequests = new LinkedHashMap<>();
    private final Map<KindId, Histogram> mLatenciesByKind = new HashMap<>();
    private final Map<TeamId, Double> mCopyBudgets = new HashMap<>();

    HedgingRouter(RequestRouter router) {
        mRouter = router;
    }

    @Override
    public Map<TargetId, Integer> takeLoadReport(long nowMicros) {
        return mRouter.takeLoadReport(nowMicros);
    }

    @Override
    public int openRequestCount() {
        return mOpenRequests.size();
    }

    @Override
    public List<RoutingAction> handle(RoutingEvent event, long nowMicros) {
        List<RoutingAction> actions = new ArrayList<>();
        if (event instanceof RoutingEvent.RequestArrived e) {
            mOpenRequests.put(e.request(), new OpenRequest(e, nowMicros));
            mCopyBudgets.merge(
                    e.team(), MAX_COPY_BUDGET, (a, b) -> Math.min(b, a + COPY_BUDGET_PER_REQUEST));
            delegate(e, nowMicros, actions);
        } else if (event instanceof RoutingEvent.AttemptEnded e
                && e.attempt() >= COPY_ATTEMPT_OFFSET) {
            RequestId copy = copyId(e.request());
            int attempt = e.attempt() - COPY_ATTEMPT_OFFSET;
            delegate(new RoutingEvent.AttemptEnded(copy, attempt, e.outcome()), nowMicros, actions);
        } else {
            delegate(event, nowMicros, actions);
        }
        if (event instanceof RoutingEvent.Tick) {
            dispatchCopies(nowMicros, actions);
        }
        return actions;
    }

    private void dispatchCopies(long nowMicros, List<RoutingAction> actions) {
        for (OpenRequest open : List.copyOf(mOpenRequests.values())) {
            Histogram latencies = mLatenciesByKind.get(open.mArrived.kind());
            double budget = mCopyBudgets.get(open.mArrived.team());
            if (open.mCopied || budget < 1 || latencies == null) {
                continue;
            }
            if (latencies.getTotalCount() >= MIN_LATENCY_SAMPLES
                    && nowMicros - open.mArrivedMicros
                            > latencies.getValueAtPercentile(HEDGE_DELAY_PERCENTILE)) {
                mCopyBudgets.put(open.mArrived.team(), budget - 1);
                open.mCopied = true;
                RoutingEvent.RequestArrived arrived = open.mArrived;
                delegate(
                        new RoutingEvent.RequestArrived(
                                copyId(arrived.request()),
                                arrived.team(),
                                arrived.kind(),
                                true,
                                arrived.deadlineMicros()),
                        nowMicros,
                        actions);
            }
        }
    }

    /** Lets the wrapped router handle an event and maps actions for copies to the originals. */
    private void delegate(RoutingEvent event, long nowMicros, List<RoutingAction> actions) {
        for (RoutingAction action : mRouter.handle(event, nowMicros)) {
            if (action instanceof RoutingAction.Dispatch a) {
                // An earlier action of the same batch may have ended the request.
                if (!mOpenRequests.containsKey(originalId(a.request()))) {
                    continue;
                }
                int attempt = a.attempt() + attemptOffset(a.request());
                actions.add(
                        new RoutingAction.Dispatch(originalId(a.request()), attempt, a.target()));
            } else if (action instanceof RoutingAction.AbortAttempt a) {
                int attempt = a.attempt() + attemptOffset(a.request());
                actions.add(new RoutingAction.AbortAttempt(originalId(a.request()), attempt));
            } else if (action instanceof RoutingAction.RequestFinished a) {
                OpenRequest open = mOpenRequests.remove(originalId(a.request()));
                if (open != null) {
                    mLatenciesByKind
                            .computeIfAbsent(
                                    open.mArrived.kind(), k -> new Histogram(MAX_LATENCY_MICROS, 2))
                            .recordValue(nowMicros - open.mArrivedMicros);
                    int attempt = a.attempt() + attemptOffset(a.request());
                    cancelOther(a.request(), open, nowMicros, actions);
                    actions.add(
                            new RoutingAction.RequestFinished(originalId(a.request()), attempt));
                }
            } else if (action instanceof RoutingAction.Reject a
                    && attemptOffset(a.request()) == 0
                    && mOpenRequests.containsKey(a.request())) {
                OpenRequest open = mOpenRequests.remove(a.request());
                cancelOther(a.request(), open, nowMicros, actions);
                actions.add(a);
            }
        }
    }

    private void cancelOther(
            RequestId ended, OpenRequest open, long nowMicros, List<RoutingAction> actions) {
        if (open.mCopied) {
            RequestId other = attemptOffset(ended) == 0 ? copyId(ended) : originalId(ended);
            delegate(new RoutingEvent.CallerDisconnected(other), nowMicros, actions);
        }
    }

    private static int attemptOffset(RequestId id) {
        return id.value().endsWith(COPY_SUFFIX) ? COPY_ATTEMPT_OFFSET : 0;
    }

    private static RequestId copyId(RequestId id) {
        return new RequestId(id.value() + COPY_SUFFIX);
    }

    private static RequestId originalId(RequestId id) {
        return new RequestId(id.value().replace(COPY_SUFFIX, ""));
    }
}
