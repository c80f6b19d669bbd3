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
 * The baseline router: round robin over the targets of its region with one first-in, first-out
 * queue.
 *
 * <p>It supports repeatable requests only and retries failed attempts on the next target. After as
 * many refusals as there are targets, it does not dispatch until the next tick; otherwise it would
 * retry endlessly while all targets refuse.
 */
final class RoundRobinRouter implements RequestRouter {
    private static final int MAX_ATTEMPTS = 5;

    private static final class OpenRequest {
        final RoutingEvent.RequestArrived mArrived;
        int mAttempt;
        TargetId mTarget;

        OpenRequest(RoutingEvent.RequestArrived arrived) {
            mArrived = arrived;
        }
    }

    private final RegionId mRegion;
    private final int mEntryCount;
    private final Deque<OpenRequest> mQueue = new ArrayDeque<>();
    private final Map<RequestId, OpenRequest> mOpenRequests = new HashMap<>();
    private final Map<TargetId, Integer> mInFlight = new HashMap<>();
    private List<TargetInfo> mTargets = List.of();
    private int mNextTarget;
    private int mRefusalsSinceTick;
    private List<RoutingAction> mActions = new ArrayList<>();

    RoundRobinRouter(RegionId region, int entryCount) {
        mRegion = region;
        mEntryCount = entryCount;
    }

    @Override
    public Map<TargetId, Integer> takeLoadReport(long nowMicros) {
        return Map.copyOf(mInFlight);
    }

    @Override
    public int openRequestCount() {
        return mOpenRequests.size();
    }

    @Override
    public List<RoutingAction> handle(RoutingEvent event, long nowMicros) {
        mActions = new ArrayList<>();
        if (event instanceof RoutingEvent.RequestArrived e) {
            OpenRequest open = new OpenRequest(e);
            mOpenRequests.put(e.request(), open);
            mQueue.add(open);
        } else if (event instanceof RoutingEvent.AttemptEnded e) {
            onAttemptEnded(e);
        } else if (event instanceof RoutingEvent.TargetsChanged e) {
            mTargets = e.targets().stream().filter(t -> t.region().equals(mRegion)).toList();
        } else if (event instanceof RoutingEvent.Tick) {
            expireRequests(nowMicros);
            mRefusalsSinceTick = 0;
        }
        dispatch();
        return mActions;
    }

    private void onAttemptEnded(RoutingEvent.AttemptEnded event) {
        OpenRequest open = mOpenRequests.get(event.request());
        if (open == null || open.mTarget == null || open.mAttempt != event.attempt()) {
            return;
        }
        release(open);
        boolean completed =
                event.outcome() == AttemptOutcome.WHOLE
                        || event.outcome() == AttemptOutcome.FAILED_WHOLE;
        if (completed) {
            mOpenRequests.remove(event.request());
            mActions.add(new RoutingAction.RequestFinished(event.request(), event.attempt()));
        } else if (event.outcome() == AttemptOutcome.REFUSED_NOT_RUN) {
            mRefusalsSinceTick++;
            mQueue.addFirst(open);
        } else if (open.mAttempt < MAX_ATTEMPTS) {
            mQueue.addFirst(open);
        } else {
            reject(open, "broken");
        }
    }

    private void expireRequests(long nowMicros) {
        List<OpenRequest> expired =
                mOpenRequests.values().stream()
                        .filter(request -> request.mArrived.deadlineMicros() <= nowMicros)
                        .toList();
        for (OpenRequest open : expired) {
            if (open.mTarget != null) {
                mActions.add(
                        new RoutingAction.AbortAttempt(open.mArrived.request(), open.mAttempt));
                release(open);
            } else {
                mQueue.remove(open);
            }
            reject(open, "deadline");
        }
    }

    private void dispatch() {
        while (!mQueue.isEmpty() && mRefusalsSinceTick < mTargets.size()) {
            TargetInfo target = nextFreeTarget();
            if (target == null) {
                return;
            }
            OpenRequest open = mQueue.removeFirst();
            open.mTarget = target.id();
            open.mAttempt++;
            mInFlight.merge(target.id(), 1, Integer::sum);
            mActions.add(
                    new RoutingAction.Dispatch(
                            open.mArrived.request(), open.mAttempt, target.id()));
        }
    }

    private TargetInfo nextFreeTarget() {
        for (int i = 0; i < mTargets.size(); i++) {
            TargetInfo target = mTargets.get(mNextTarget++ % mTargets.size());
            if (mInFlight.getOrDefault(target.id(), 0) < target.connections() / mEntryCount) {
                return target;
            }
        }
        return null;
    }

    private void reject(OpenRequest open, String reason) {
        mOpenRequests.remove(open.mArrived.request());
        mActions.add(
                new RoutingAction.Reject(open.mArrived.request(), RequestOutcome.UNKNOWN, reason));
    }

    private void release(OpenRequest open) {
        mInFlight.merge(open.mTarget, -1, Integer::sum);
        open.mTarget = null;
    }
}
