package org.lycheeroad.entry.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.membership.ListedEntry;
import org.lycheeroad.coordination.routing.ClaimResult;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.table.OperatorTable;

/** The state that an entry shares with its peers and the platform's store. */
public interface ControlPlane {
    /**
     * Starts heartbeats, the store watch and the role elections; add listeners before this call.
     */
    void start();

    /** Hands over roles, leaves the membership and stops. */
    void stop();

    /** Adds a listener; it is called on the control thread and must not block. */
    void addListener(ControlListener listener);

    /** Returns whether a table is applied and the local state is not known to be stale. */
    boolean isReady();

    /** Returns the applied table, if any. */
    Optional<OperatorTable> currentTable();

    /** Returns the applied table as the CSV text that was saved. */
    String tableCsv();

    /** Saves a table if the newest version is still {@code expectedVersion}. */
    CompletableFuture<SaveTableResult> saveTable(String csv, long expectedVersion);

    /** Creates a job in the store; completes when the outcome of the write is known or given up. */
    CompletableFuture<CreateJobResult> createJob(JobSpec spec);

    /** Records a job's new state in the store, retrying until the store answers. */
    void updateJob(JobRecord record);

    /** Returns a job as last seen in the store, or as this entry last recorded it. */
    Optional<JobRecord> findJob(JobId job);

    /** Claims a non-repeatable request for one attempt of this entry. */
    CompletableFuture<ClaimResult> claim(String team, String key, String attempt);

    /** Deletes the claim of an attempt that did not run; best effort, as claims expire. */
    void releaseClaim(String team, String key, String attempt);

    /** Submits an urgent job directly to its region's placement owner, without the store. */
    CompletableFuture<JobRecord> submitUrgent(JobSpec spec, long timeoutMillis);

    /** Requests cancellation of a job from its placement owner. */
    CompletableFuture<JobRecord> cancelJob(JobId job, long timeoutMillis);

    /** Sets this entry's load, sent with heartbeats, and its demand, sent with demand reports. */
    void publishLoad(Map<TargetId, Integer> inFlight, Map<LimitKey, Double> demandPerSecond);

    /** Returns whether this entry may currently act as placement owner with a fencing token. */
    default boolean mayActAsPlacementOwner(long token) {
        return true;
    }

    /** Reports that a worker rejected this entry's token because it has seen a higher one. */
    default void reportTokenRefused(long higherToken) {}

    /** Returns the number of store calls sent so far, by mechanism. */
    default Map<String, Long> storeCallCounts() {
        return Map.of();
    }

    /** Returns the held fencing token of each role, or 0 if not held; at most 1 s old. */
    default Map<String, Long> heldTokens() {
        return Map.of();
    }

    /** Sets the entries in the platform's VM list. */
    default void updateListedEntries(List<ListedEntry> entries) {}

    /** Returns members, roles and versions as JSON, for the operators' status page. */
    String statusJson();
}
