package org.lycheeroad.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TeamId;

class FairQueueTest {
    private static final Flow A = flow("a");
    private static final Flow B = flow("b");
    private static final Flow C = flow("c");
    private static final Map<Flow, Integer> WEIGHTS = Map.of(A, 1, B, 3, C, 7);

    private static Flow flow(String team) {
        return new Flow(new TeamId(team), new KindId("k"));
    }

    private static RoutedRequest request(Flow flow, long sequence) {
        return new RoutedRequest(
                new RoutingEvent.RequestArrived(
                        new RequestId("q" + sequence), flow.team(), flow.kind(), true, 1),
                sequence,
                0);
    }

    /** A reference implementation of start-time fair queueing with a list and linear search. */
    private static final class ReferenceQueue {
        final List<RoutedRequest> mWaiting = new ArrayList<>();
        final Map<Flow, Double> mVirtualStarts = new HashMap<>();
        double mVirtualTime;

        void add(RoutedRequest request) {
            if (mWaiting.stream().noneMatch(r -> r.mFlow.equals(request.mFlow))) {
                mVirtualStarts.merge(request.mFlow, mVirtualTime, Math::max);
            }
            mWaiting.add(request);
        }

        RoutedRequest pollExcept(Flow except, double cost) {
            RoutedRequest next =
                    mWaiting.stream()
                            .filter(r -> !r.mFlow.equals(except))
                            .min(
                                    Comparator.<RoutedRequest>comparingDouble(
                                                    r -> mVirtualStarts.get(r.mFlow))
                                            .thenComparingLong(r -> r.mSequence))
                            .orElse(null);
            if (next != null) {
                mWaiting.remove(next);
                mVirtualTime = Math.max(mVirtualTime, mVirtualStarts.get(next.mFlow));
                mVirtualStarts.merge(next.mFlow, cost / WEIGHTS.get(next.mFlow), Double::sum);
            }
            return next;
        }
    }

    /** Guards against an order or size that differs from the reference implementation. */
    @Property(tries = 300, seed = "99")
    void agreesWithReferenceModel(@ForAll long seed) {
        Random random = new Random(seed);
        FairQueue queue = new FairQueue();
        queue.setWeights(WEIGHTS);
        ReferenceQueue reference = new ReferenceQueue();
        List<Flow> flows = List.of(A, B, C);
        for (int i = 0; i < 300; i++) {
            Flow flow = flows.get(random.nextInt(3));
            int choice = random.nextInt(10);
            if (choice < 5) {
                RoutedRequest request = request(flow, i);
                queue.add(request);
                reference.add(request);
            } else if (choice < 9) {
                double cost = 1 + random.nextInt(50);
                Flow next = queue.nextFlow(f -> !f.equals(flow));
                RoutedRequest expected = reference.pollExcept(flow, cost);
                assertThat(next == null ? null : queue.poll(next, cost)).isSameAs(expected);
            } else if (!reference.mWaiting.isEmpty()) {
                RoutedRequest removed =
                        reference.mWaiting.remove(random.nextInt(reference.mWaiting.size()));
                queue.remove(removed);
            }
            assertThat(queue.size()).isEqualTo(reference.mWaiting.size());
        }
    }

    /** Guards against a flow that gets more than its share by many or long requests. */
    @Test
    void sharesServiceByWeight() {
        FairQueue queue = new FairQueue();
        queue.setWeights(WEIGHTS);
        Map<Flow, Double> costByFlow = Map.of(A, 1.0, B, 10.0, C, 5.0);
        Map<Flow, Double> servedCostByFlow = new HashMap<>();
        long sequence = 0;
        for (Flow flow : costByFlow.keySet()) {
            for (int i = 0; i < 2_000; i++) {
                queue.add(request(flow, sequence++));
            }
        }
        for (int i = 0; i < 1_000; i++) {
            Flow next = queue.nextFlow(f -> true);
            queue.poll(next, costByFlow.get(next));
            servedCostByFlow.merge(next, costByFlow.get(next), Double::sum);
        }
        assertThat(servedCostByFlow.get(B) / servedCostByFlow.get(A)).isBetween(2.9, 3.1);
        assertThat(servedCostByFlow.get(C) / servedCostByFlow.get(A)).isBetween(6.9, 7.1);
    }
}
