package org.lycheeroad.coordination.jobs;

import java.util.function.Function;
import java.util.function.Supplier;

/** The replaceable parts of the scheduler: duration estimates and the order of steps. */
public final class SchedulingPolicies {
    private final Supplier<DurationEstimator> mEstimator;
    private final Function<DurationEstimator, SchedulingOrder> mOrder;

    private SchedulingPolicies(
            Supplier<DurationEstimator> estimator,
            Function<DurationEstimator, SchedulingOrder> order) {
        mEstimator = estimator;
        mOrder = order;
    }

    /** Returns the policies that the production daemon uses. */
    public static SchedulingPolicies standard() {
        return new SchedulingPolicies(MovingAverageEstimator::new, DeadlineOrder::new);
    }

    /** Returns the baseline for comparisons: first come, first served, on any worker that fits. */
    public static SchedulingPolicies firstComeFirstServed() {
        return new SchedulingPolicies(
                MovingAverageEstimator::new, e -> new FifoOrder(new DeadlineOrder(e)));
    }

    DurationEstimator newEstimator() {
        return mEstimator.get();
    }

    SchedulingOrder newOrder(DurationEstimator estimator) {
        return mOrder.apply(estimator);
    }
}
