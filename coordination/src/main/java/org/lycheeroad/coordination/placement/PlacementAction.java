package org.lycheeroad.coordination.placement;

import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.task.Order;

/** An output of {@link PlacementCore}. */
public sealed interface PlacementAction {
    /** Sends an order to a worker. */
    record SendOrder(WorkerId worker, Order order) implements PlacementAction {}

    /** Records and publishes a job's new state. */
    record JobChanged(JobId job, JobState state, String reason) implements PlacementAction {}
}
