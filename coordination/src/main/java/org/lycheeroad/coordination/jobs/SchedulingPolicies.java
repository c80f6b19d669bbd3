package org.lycheeroad.coordination.jobs;

import java.util.function.Function;
import java.util.function.Supplier;

/** The parts of the scheduler's decisions that may be exchanged. */
public final class SchedulingPolicies {
    private final Supplier<DurationEstimator> mEstimator;
    private final Function<DurationEstimator, SchedulingOrder> mOrder;

    private SchedulingPolicies(
            Supplier<DurationEstimator> durations,
            Function<DurationEstimator, SchedulingOrder> order) {
        mEstimator = durations;
        mOrder = order;
    }

    /** Returns the policies of the daemon. */
    public static SchedulingPolicies standard() {
        return new SchedulingPolicies(MovingAverageEstimator::new, DeadlineOrder::new);
    }

    /** Returns the baseline: first come, first served, wherever there is room. */
    public static SchedulingPolicies firstComeFirstServed() {
        return new SchedulingPolicies(
                MovingAverageEstimator::new, d -> new FifoOrder(new DeadlineOrder(d)));
    }

    DurationEstimator newEstimator() {
        return mEstimator.get();
    }

    SchedulingOrder newOrder(DurationEstimator durations) {
        return mOrder.apply(durations);
    }
}
