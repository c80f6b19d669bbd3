package org.lycheeroad.benchmarks.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.coordination.routing.AttemptOutcome;
import org.lycheeroad.coordination.routing.RequestOutcome;
import org.lycheeroad.coordination.routing.RequestRouter;
import org.lycheeroad.coordination.routing.RoutingAction;
import org.lycheeroad.coordination.routing.RoutingEvent;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.topology.TargetInfo;

/**
 * The baseline: round robin over the targets of the region, one queue that is first in, first out.
 *
 * <p>It serves repeatable requests only, and retries what did not end well at the next target.
 * After as many refusals as there are targets it waits for the next tick, as it would ask without
 * end.
 */
final class RoundRobinRouter implements RequestRouter {
    private static final int MAX_ATTEMPTS = 5;

    private static final class Item {
        final RoutingEvent.RequestArrived mArrived;
        int mAttempt;
        TargetId mTarget;

        Item(RoutingEvent.RequestArrived arrived) {
            mArrived = arrived;
        }
    }

    private final RegionId mRegion;
    private final int mEntries;
    private final Deque<Item> mQueue = new ArrayDeque<>();
    private final Map<RequestId, Item> mItems = new HashMap<>();
    private final Map<TargetId, Integer> mInFlight = new HashMap<>();
    private List<TargetInfo> mTargets = List.of();
    private int mNext;
    private int mRefusedSinceTick;
    private List<RoutingAction> mActions = new ArrayList<>();

    RoundRobinRouter(RegionId region, int entries) {
        mRegion = region;
        mEntries = entries;
    }

    @Override
    public Map<TargetId, Integer> takeLoadReport(long nowMicros) {
        return Map.copyOf(mInFlight);
    }

    @Override
    public int openRequestCount() {
        return mItems.size();
    }

    @Override
    public List<RoutingAction> handle(RoutingEvent event, long nowMicros) {
        mActions = new ArrayList<>();
        if (event instanceof RoutingEvent.RequestArrived e) {
            Item item = new Item(e);
            mItems.put(e.request(), item);
            mQueue.add(item);
        } else if (event instanceof RoutingEvent.AttemptEnded e) {
            ended(e);
        } else if (event instanceof RoutingEvent.TargetsChanged e) {
            mTargets = e.targets().stream().filter(t -> t.region().equals(mRegion)).toList();
        } else if (event instanceof RoutingEvent.Tick) {
            expire(nowMicros);
            mRefusedSinceTick = 0;
        }
        dispatch();
        return mActions;
    }

    private void ended(RoutingEvent.AttemptEnded event) {
        Item item = mItems.get(event.request());
        if (item == null || item.mTarget == null || item.mAttempt != event.attempt()) {
            return;
        }
        release(item);
        boolean whole =
                event.outcome() == AttemptOutcome.WHOLE
                        || event.outcome() == AttemptOutcome.FAILED_WHOLE;
        if (whole) {
            mItems.remove(event.request());
            mActions.add(new RoutingAction.RequestFinished(event.request(), event.attempt()));
        } else if (event.outcome() == AttemptOutcome.REFUSED_NOT_RUN) {
            mRefusedSinceTick++;
            mQueue.addFirst(item);
        } else if (item.mAttempt < MAX_ATTEMPTS) {
            mQueue.addFirst(item);
        } else {
            reject(item, "broken");
        }
    }

    private void expire(long now) {
        List<Item> late =
                mItems.values().stream().filter(i -> i.mArrived.deadlineMicros() <= now).toList();
        for (Item item : late) {
            if (item.mTarget != null) {
                mActions.add(
                        new RoutingAction.AbortAttempt(item.mArrived.request(), item.mAttempt));
                release(item);
            } else {
                mQueue.remove(item);
            }
            reject(item, "deadline");
        }
    }

    private void dispatch() {
        while (!mQueue.isEmpty() && mRefusedSinceTick < mTargets.size()) {
            TargetInfo target = next();
            if (target == null) {
                return;
            }
            Item item = mQueue.removeFirst();
            item.mTarget = target.id();
            item.mAttempt++;
            mInFlight.merge(target.id(), 1, Integer::sum);
            mActions.add(
                    new RoutingAction.Dispatch(
                            item.mArrived.request(), item.mAttempt, target.id()));
        }
    }

    private TargetInfo next() {
        for (int i = 0; i < mTargets.size(); i++) {
            TargetInfo target = mTargets.get(mNext++ % mTargets.size());
            if (mInFlight.getOrDefault(target.id(), 0) < target.connections() / mEntries) {
                return target;
            }
        }
        return null;
    }

    private void reject(Item item, String reason) {
        mItems.remove(item.mArrived.request());
        mActions.add(
                new RoutingAction.Reject(item.mArrived.request(), RequestOutcome.UNKNOWN, reason));
    }

    private void release(Item item) {
        mInFlight.merge(item.mTarget, -1, Integer::sum);
        item.mTarget = null;
    }
}
