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
 * A trial of hedging: sends a second copy of what runs longer than most of its kind.
 *
 * <p>The copy is a request of its own to the wrapped router; its attempts are told apart by {@link
 * #COPY_ATTEMPT}. The first answer ends both. All requests must be repeatable.
 */
final class HedgingRouter implements RequestRouter {
    private static final int COPY_ATTEMPT = 1_000;
    private static final String COPY = "-copy";
    private static final double HEDGE_AFTER_PERCENTILE = 95;
    private static final long ENOUGH_ANSWERS = 100;

    /** Copies that each request of a team earns, and the most that are saved. */
    private static final double BUDGET_PER_REQUEST = 0.05;

    private static final double MAX_SAVED = 20;
    private static final long HIGHEST_MICROS = 120_000_000;

    private static final class Item {
        final RoutingEvent.RequestArrived mArrived;
        final long mArrivedMicros;
        boolean mCopied;

        Item(RoutingEvent.RequestArrived arrived, long now) {
            mArrived = arrived;
            mArrivedMicros = now;
        }
    }

    private final RequestRouter mRouter;
    private final Map<RequestId, Item> mItems = new LinkedHashMap<>();
    private final Map<KindId, Histogram> mTimes = new HashMap<>();
    private final Map<TeamId, Double> mBudgets = new HashMap<>();

    HedgingRouter(RequestRouter router) {
        mRouter = router;
    }

    @Override
    public Map<TargetId, Integer> takeLoadReport(long nowMicros) {
        return mRouter.takeLoadReport(nowMicros);
    }

    @Override
    public int openRequestCount() {
        return mItems.size();
    }

    @Override
    public List<RoutingAction> handle(RoutingEvent event, long nowMicros) {
        List<RoutingAction> actions = new ArrayList<>();
        if (event instanceof RoutingEvent.RequestArrived e) {
            mItems.put(e.request(), new Item(e, nowMicros));
            mBudgets.merge(e.team(), MAX_SAVED, (a, b) -> Math.min(b, a + BUDGET_PER_REQUEST));
            feed(e, nowMicros, actions);
        } else if (event instanceof RoutingEvent.AttemptEnded e && e.attempt() >= COPY_ATTEMPT) {
            RequestId copy = copy(e.request());
            int attempt = e.attempt() - COPY_ATTEMPT;
            feed(new RoutingEvent.AttemptEnded(copy, attempt, e.outcome()), nowMicros, actions);
        } else {
            feed(event, nowMicros, actions);
        }
        if (event instanceof RoutingEvent.Tick) {
            hedge(nowMicros, actions);
        }
        return actions;
    }

    private void hedge(long now, List<RoutingAction> actions) {
        for (Item item : List.copyOf(mItems.values())) {
            Histogram times = mTimes.get(item.mArrived.kind());
            double budget = mBudgets.get(item.mArrived.team());
            if (item.mCopied || budget < 1 || times == null) {
                continue;
            }
            if (times.getTotalCount() >= ENOUGH_ANSWERS
                    && now - item.mArrivedMicros
                            > times.getValueAtPercentile(HEDGE_AFTER_PERCENTILE)) {
                mBudgets.put(item.mArrived.team(), budget - 1);
                item.mCopied = true;
                RoutingEvent.RequestArrived e = item.mArrived;
                feed(
                        new RoutingEvent.RequestArrived(
                                copy(e.request()), e.team(), e.kind(), true, e.deadlineMicros()),
                        now,
                        actions);
            }
        }
    }

    private void feed(RoutingEvent event, long now, List<RoutingAction> actions) {
        for (RoutingAction action : mRouter.handle(event, now)) {
            if (action instanceof RoutingAction.Dispatch a) {
                // The copy or the original may have been cancelled by an action before.
                if (!mItems.containsKey(original(a.request()))) {
                    continue;
                }
                int attempt = a.attempt() + offset(a.request());
                actions.add(new RoutingAction.Dispatch(original(a.request()), attempt, a.target()));
            } else if (action instanceof RoutingAction.AbortAttempt a) {
                int attempt = a.attempt() + offset(a.request());
                actions.add(new RoutingAction.AbortAttempt(original(a.request()), attempt));
            } else if (action instanceof RoutingAction.RequestFinished a) {
                Item item = mItems.remove(original(a.request()));
                if (item != null) {
                    mTimes.computeIfAbsent(
                                    item.mArrived.kind(), k -> new Histogram(HIGHEST_MICROS, 2))
                            .recordValue(now - item.mArrivedMicros);
                    int attempt = a.attempt() + offset(a.request());
                    cancelOther(a.request(), item, now, actions);
                    actions.add(new RoutingAction.RequestFinished(original(a.request()), attempt));
                }
            } else if (action instanceof RoutingAction.Reject a
                    && offset(a.request()) == 0
                    && mItems.containsKey(a.request())) {
                Item item = mItems.remove(a.request());
                cancelOther(a.request(), item, now, actions);
                actions.add(a);
            }
        }
    }

    private void cancelOther(RequestId ended, Item item, long now, List<RoutingAction> actions) {
        if (item.mCopied) {
            RequestId other = offset(ended) == 0 ? copy(ended) : original(ended);
            feed(new RoutingEvent.CallerDisconnected(other), now, actions);
        }
    }

    private static int offset(RequestId id) {
        return id.value().endsWith(COPY) ? COPY_ATTEMPT : 0;
    }

    private static RequestId copy(RequestId id) {
        return new RequestId(id.value() + COPY);
    }

    private static RequestId original(RequestId id) {
        return new RequestId(id.value().replace(COPY, ""));
    }
}
