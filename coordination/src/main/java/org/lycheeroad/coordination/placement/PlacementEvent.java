package org.lycheeroad.coordination.placement;

import java.util.List;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.WorkerReport;
import org.lycheeroad.state.topology.WorkerInfo;

/** An input of {@link PlacementCore}. */
public sealed interface PlacementEvent {
    /** This entry now owns the placement of its region. */
    record OwnershipGained(long token) implements PlacementEvent {}

    /** This entry no longer owns the placement of its region. */
    record OwnershipLost() implements PlacementEvent {}

    /** The list of the region's workers changed. */
    record WorkersChanged(List<WorkerInfo> workers) implements PlacementEvent {}

    /** A worker reported its tasks. */
    record WorkerReported(WorkerReport report) implements PlacementEvent {}

    /** A worker did not answer a call. */
    record WorkerUnreachable(WorkerId worker) implements PlacementEvent {}

    /** A newer version of the operators' table has taken effect. */
    record TableChanged(OperatorTable table) implements PlacementEvent {}

    /** A job was accepted. */
    record JobSubmitted(JobSpec spec) implements PlacementEvent {}

    /** A caller asked to cancel a job. */
    record JobCancelled(JobId job) implements PlacementEvent {}

    /** A worker answered one order. */
    record OrderAnswered(
            WorkerId worker,
            JobId job,
            int member,
            int attempt,
            OrderKind kind,
            boolean accepted,
            String reason)
            implements PlacementEvent {}

    /** Time has passed; sent regularly to trigger time-outs, renewals and scheduling passes. */
    record Tick() implements PlacementEvent {}
}
