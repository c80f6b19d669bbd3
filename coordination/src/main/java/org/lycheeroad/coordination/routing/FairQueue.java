package org.lycheeroad.coordination.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lycheeroad.state.id.TeamId;

/**
 * Shares the slots between flows by their weights, with start-time fair queueing.
 *
 * <p>Each flow has a virtual start time that grows by expected service time over weight with each
 * request that is taken; the flow with the least one is next. Within a flow the order is that of
 * arrival, also for requests that come back for another attempt.
 */
final class FairQueue {
    /** Idle flows are forgotten above this number, so that made-up team names use no memory. */
    private static final int MAX_IDLE_FLOWS = 1_024;

    private final Map<Flow, FlowQueue> mFlowQueues = new HashMap<>();
    private final Map<TeamId, Integer> mSizeByTeam = new HashMap<>();
    private Map<Flow, Integer> mWeights = Map.of();
    private double mVirtualTime;
    private int mSize;

    /** Sets the weights; a flow without one has weight 1. */
    void setWeights(Map<Flow, Integer> weights) {
        mWeights = Map.copyOf(weights);
    }

    void add(RoutedRequest request) {
        FlowQueue line = mFlowQueues.computeIfAbsent(request.mFlow, f -> new FlowQueue());
        if (line.mWaiting.isEmpty()) {
            line.mVirtualStart = Math.max(mVirtualTime, line.mVirtualStart);
        }
        line.mWaiting.put(request.mSequence, request);
        mSizeByTeam.merge(request.mFlow.team(), 1, Integer::sum);
        mSize++;
    }

    /** Removes a request that is not to be served; does nothing if it does not wait. */
    void remove(RoutedRequest request) {
        FlowQueue line = mFlowQueues.get(request.mFlow);
        if (line != null && line.mWaiting.remove(request.mSequence) != null) {
            recordRemoval(request);
        }
    }

    /** Returns the flow whose turn it is among those that the filter accepts, or null. */
    Flow nextFlow(Predicate<Flow> filter) {
        Flow best = null;
        FlowQueue bestLine = null;
        for (Map.Entry<Flow, FlowQueue> entry : mFlowQueues.entrySet()) {
            FlowQueue line = entry.getValue();
            if (!line.mWaiting.isEmpty()
                    && (bestLine == null || line.isBefore(bestLine))
                    && filter.test(entry.getKey())) {
                best = entry.getKey();
                bestLine = line;
            }
        }
        return best;
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
        FlowQueue line = mFlowQueues.get(flow);
        return line == null ? List.of() : List.copyOf(line.mWaiting.values());
    }

    /** Returns the oldest request of a flow that has one. */
    RoutedRequest peek(Flow flow) {
        return mFlowQueues.get(flow).mWaiting.firstEntry().getValue();
    }

    /** Takes the oldest request of a flow that has one and charges the flow for it. */
    RoutedRequest poll(Flow flow, double cost) {
        FlowQueue line = mFlowQueues.get(flow);
        RoutedRequest request = line.mWaiting.pollFirstEntry().getValue();
        mVirtualTime = Math.max(mVirtualTime, line.mVirtualStart);
        line.mVirtualStart += cost / weight(flow);
        recordRemoval(request);
        return request;
    }

    int size() {
        return mSize;
    }

    int size(TeamId team) {
        return mSizeByTeam.getOrDefault(team, 0);
    }

    int size(Flow flow) {
        FlowQueue line = mFlowQueues.get(flow);
        return line == null ? 0 : line.mWaiting.size();
    }

    /** Returns the part of the slots that a flow is due while the flows that wait now do so. */
    double fairShare(Flow flow) {
        double own = weight(flow);
        double all = size(flow) == 0 ? own : 0;
        for (Map.Entry<Flow, FlowQueue> entry : mFlowQueues.entrySet()) {
            if (!entry.getValue().mWaiting.isEmpty()) {
                all += weight(entry.getKey());
            }
        }
        return own / all;
    }

    private int weight(Flow flow) {
        return Math.max(1, mWeights.getOrDefault(flow, 1));
    }

    private void recordRemoval(RoutedRequest request) {
        mSizeByTeam.computeIfPresent(request.mFlow.team(), (t, n) -> n == 1 ? null : n - 1);
        mSize--;
        if (mFlowQueues.size() > MAX_IDLE_FLOWS) {
            mFlowQueues
                    .values()
                    .removeIf(l -> l.mWaiting.isEmpty() && l.mVirtualStart <= mVirtualTime);
        }
    }

    /** The waiting requests of one flow, by arrival. */
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
