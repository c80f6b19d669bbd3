package org.lycheeroad.coordination.jobs;

import java.util.function.Function;
import java.util.function.Supplier;

/** The parts of the scheduler's decisions that may be exchanged. */
public final class Policies {
    private final Supplier<DurationEstimates> mDurations;
    private final Function<DurationEstimates, ServiceOrder> mOrder;

    private Policies(
            Supplier<DurationEstimates> durations,
            Function<DurationEstimates, ServiceOrder> order) {
        mDurations = durations;
        mOrder = order;
    }

    /** Returns the policies of the daemon. */
    public static Policies standard() {
        return new Policies(MeanDurations::new, UsefulOrder::new);
    }

    /** Returns the baseline: first come, first served, wherever there is room. */
    public static Policies firstComeFirstServed() {
        return new Policies(MeanDurations::new, d -> new ArrivalOrder(new UsefulOrder(d)));
    }

    DurationEstimates newDurations() {
        return mDurations.get();
    }

    ServiceOrder newOrder(DurationEstimates durations) {
        return mOrder.apply(durations);
    }
}
