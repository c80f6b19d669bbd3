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

/** Receives changes of the shared state on the control plane's thread; it must not block. */
public interface ControlListener {
    /** The reason in the answer of an entry without the role; the job is then tried again. */
    String NOT_PLACEMENT_OWNER = "not the placement owner";

    /** A newer table is in force. */
    default void onTableChanged(OperatorTable table) {}

    /** This entry holds the placement role of its region with the given fencing token. */
    default void onPlacementRoleGained(long token) {}

    /** This entry no longer holds the placement role of its region. */
    default void onPlacementRoleLost() {}

    /** A job was created or changed in the store. */
    default void onJobChanged(JobRecord record) {}

    /** Something happened that belongs on the time line. */
    default void onEvent(EventCode code, String text) {}

    /** A peer reported its load. */
    default void onPeerLoadReported(EntryId entry, Map<TargetId, Integer> inFlight) {}

    /** This entry may use this rate of a limit until the next call, in its unit per second. */
    default void onRateShareChanged(LimitKey key, double perSecond) {}

    /**
     * A peer submits an urgent job to this entry as the placement owner; the future answers it.
     *
     * <p>Without the role the answer is {@code NOT_RUN} with {@link #NOT_PLACEMENT_OWNER}.
     */
    default void onUrgentSubmit(JobSpec spec, CompletableFuture<JobRecord> answer) {}

    /**
     * A caller cancels a job at this entry as the placement owner; the future answers it.
     *
     * <p>Without the role the answer is {@code UNKNOWN} with {@link #NOT_PLACEMENT_OWNER} and no
     * spec.
     */
    default void onCancel(JobId job, CompletableFuture<JobRecord> answer) {}
}
