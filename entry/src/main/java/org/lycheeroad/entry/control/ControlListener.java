package org.lycheeroad.entry.control;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.table.OperatorTable;

/** Receives changes of the shared state on the control thread; implementations must not block. */
public interface ControlListener {
    /** The reason returned by an entry that does not hold the placement role; callers retry. */
    String NOT_PLACEMENT_OWNER = "not the placement owner";

    /** Called when a newer table has been applied. */
    default void onTableChanged(OperatorTable table) {}

    /** Called when this entry acquires the placement role of its region with a fencing token. */
    default void onPlacementRoleGained(long token) {}

    /** Called when this entry no longer holds the placement role of its region. */
    default void onPlacementRoleLost() {}

    /** Called when a job was created or changed in the store. */
    default void onJobChanged(JobRecord record) {}

    /** Called for each event that belongs in the event log. */
    default void onEvent(EventCode code, String text) {}

    /** Called when a peer reports its requests in flight per target. */
    default void onPeerLoadReported(EntryId entry, Map<TargetId, Integer> inFlight) {}

    /**
     * Called when this entry's share of a rate limit changes.
     *
     * @param perSecond the share in the unit of the limit; it applies until the next call
     */
    default void onRateShareChanged(LimitKey key, double perSecond) {}

    /**
     * Called when an urgent job is submitted to this entry as the placement owner.
     *
     * <p>Without the role the result is {@code NOT_RUN} with {@link #NOT_PLACEMENT_OWNER}.
     *
     * @param result completed with the state of the job
     */
    default void onUrgentSubmit(JobSpec spec, CompletableFuture<JobRecord> result) {}

    /**
     * Called when a job is cancelled at this entry as the placement owner.
     *
     * <p>Without the role the result is {@code UNKNOWN} with {@link #NOT_PLACEMENT_OWNER} and no
     * spec.
     *
     * @param result completed with the state of the job
     */
    default void onCancel(JobId job, CompletableFuture<JobRecord> result) {}
}
