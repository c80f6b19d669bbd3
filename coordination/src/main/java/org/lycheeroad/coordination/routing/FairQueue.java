package org.lycheeroad.coordination.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lycheeroad.state.id.TeamId;

/**
 * A weighted fair queue of requests, by start-time fair queueing (SFQ).
 *
 * <p>Each flow has a virtual start time, which increases by expected service time divided by weight
 * with each request that is dequeued; the flow with the lowest virtual start time is served next.
 * Within a flow, requests are served in order of arrival, also if they are queued again for another
 * attempt.
 */
final class FairQueue {
    /**
     * Above this number, idle flows are dropped, so that made-up team names do not use up memory.
     */
    private static final int MAX_IDLE_FLOWS = 1_024;

    private final Map<Flow, FlowQueue> mFlowQueues = new HashMap<>();
    private final Map<TeamId, Integer> mSizeByTeam = new HashMap<>();
    private Map<Flow, Integer> mWeights = Map.of();
    private double mVirtualTime;
    private int mSize;

    /** Sets the weights; a flow without a weight has weight 1. */
    void setWeights(Map<Flow, Integer> weights) {
        mWeights = Map.copyOf(weights);
    }

    void add(RoutedRequest request) {
        FlowQueue queue = mFlowQueues.computeIfAbsent(request.mFlow, f -> new FlowQueue());
        if (queue.mWaiting.isEmpty()) {
            queue.mVirtualStart = Math.max(mVirtualTime, queue.mVirtualStart);
        }
        queue.mWaiting.put(request.mSequence, request);
        mSizeByTeam.merge(request.mFlow.team(), 1, Integer::sum);
        mSize++;
    }

    /** Removes a request without serving it; does nothing if the request is not queued. */
    void remove(RoutedRequest request) {
        FlowQueue queue = mFlowQueues.get(request.mFlow);
        if (queue != null && queue.mWaiting.remove(request.mSequence) != null) {
            updateCountsAfterRemoval(request);
        }
    }

    /**
     * Returns the flow to serve next among those that the filter accepts, or null if none waits.
     */
    Flow nextFlow(Predicate<Flow> filter) {
        Flow bestFlow = null;
        FlowQueue bestQueue = null;
        for (Map.Entry<Flow, FlowQueue> entry : mFlowQueues.entrySet()) {
            FlowQueue queue = entry.getValue();
            if (!queue.mWaiting.isEmpty()
                    && (bestQueue == null || queue.isBefore(bestQueue))
                    && filter.test(entry.getKey())) {
                bestFlow = entry.getKey();
                bestQueue = queue;
            }
        }
        return bestFlow;
    }

    /** Returns the flows that have waiting requests. */
    List<Flow> waitingFlows() {
        return mFlowQueues.entrySet().stream()
                .filter(e -> !e.getValue().mWaiting.isEmpty())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the waiting requests of a flow, oldest first. */
    List<RoutedRequest> waitingRequests(Flow flow) {
        FlowQueue queue = mFlowQueues.get(flow);
        return queue == null ? List.of() : List.copyOf(queue.mWaiting.values());
    }

    /** Returns the oldest request of a flow, which must have waiting requests. */
    RoutedRequest peek(Flow flow) {
        return mFlowQueues.get(flow).mWaiting.firstEntry().getValue();
    }

    /**
     * Removes the oldest request of a flow, which must have waiting requests, and charges the flow.
     *
     * @param cost the expected service time of the request
     */
    RoutedRequest poll(Flow flow, double cost) {
        FlowQueue queue = mFlowQueues.get(flow);
        RoutedRequest request = queue.mWaiting.pollFirstEntry().getValue();
        mVirtualTime = Math.max(mVirtualTime, queue.mVirtualStart);
        queue.mVirtualStart += cost / weight(flow);
        updateCountsAfterRemoval(request);
        return request;
    }

    int size() {
        return mSize;
    }

    int size(TeamId team) {
        return mSizeByTeam.getOrDefault(team, 0);
    }

    int size(Flow flow) {
        FlowQueue queue = mFlowQueues.get(flow);
        return queue == null ? 0 : queue.mWaiting.size();
    }

    /** Returns the share of the slots, up to 1, that a flow is due among the flows now waiting. */
    double fairShare(Flow flow) {
        double ownWeight = weight(flow);
        double totalWeight = size(flow) == 0 ? ownWeight : 0;
        for (Map.Entry<Flow, FlowQueue> entry : mFlowQueues.entrySet()) {
            if (!entry.getValue().mWaiting.isEmpty()) {
                totalWeight += weight(entry.getKey());
            }
        }
        return ownWeight / totalWeight;
    }

    private int weight(Flow flow) {
        return Math.max(1, mWeights.getOrDefault(flow, 1));
    }

    private void updateCountsAfterRemoval(RoutedRequest request) {
        mSizeByTeam.computeIfPresent(request.mFlow.team(), (t, n) -> n == 1 ? null : n - 1);
        mSize--;
        if (mFlowQueues.size() > MAX_IDLE_FLOWS) {
            mFlowQueues
                    .values()
                    .removeIf(q -> q.mWaiting.isEmpty() && q.mVirtualStart <= mVirtualTime);
        }
    }

    /** The waiting requests of one flow, in order of arrival. */
    private static final class FlowQueue {
        final TreeMap<Long, RoutedRequest> mWaiting = new TreeMap<>();
        double mVirtualStart;

        boolean isBefore(FlowQueue other) {
            return mVirtualStart < other.mVirtualStart
                    || (mVirtualStart == other.mVirtualStart
                            && mWaiting.firstKey() < other.mWaiting.firstKey());
        }
    }
}
