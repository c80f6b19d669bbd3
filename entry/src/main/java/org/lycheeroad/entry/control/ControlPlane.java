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

/** Everything that an entry shares with its peers and the platform's store. */
public interface ControlPlane {
    /** Starts heartbeats, the store watch and the role elections; listeners are added before. */
    void start();

    /** Hands over roles, leaves the membership and stops. */
    void stop();

    /** Adds a listener; it is called on the control plane's thread and must not block. */
    void addListener(ControlListener listener);

    /** Returns whether a table is in force and the state is not known to be behind. */
    boolean isReady();

    /** Returns the table in force, if any. */
    Optional<OperatorTable> currentTable();

    /** Returns the table in force as the CSV text that was saved. */
    String tableCsv();

    /** Saves a table if the version in force in the store is still {@code expectedVersion}. */
    CompletableFuture<SaveTableResult> saveTable(String csv, long expectedVersion);

    /** Creates a job in the store; completes when the write is confirmed or known not to be. */
    CompletableFuture<CreateJobResult> createJob(JobSpec spec);

    /** Records a job's new state in the store, retrying until the store answers. */
    void updateJob(JobRecord record);

    /** Returns a job as last seen in the store, or as this entry last recorded it. */
    Optional<JobRecord> findJob(JobId job);

    /** Claims a not repeatable request for one attempt of this entry. */
    CompletableFuture<ClaimResult> claim(String team, String key, String attempt);

    /** Deletes the claim of an attempt that did not run; best effort, as the claim expires. */
    void releaseClaim(String team, String key, String attempt);

    /** Submits an urgent job directly to its region's placement owner, without the store. */
    CompletableFuture<JobRecord> submitUrgent(JobSpec spec, long timeoutMillis);

    /** Asks the job's placement owner to cancel it. */
    CompletableFuture<JobRecord> cancelJob(JobId job, long timeoutMillis);

    /** Publishes this entry's load and demand, which go out with its heartbeats. */
    void publishLoad(Map<TargetId, Integer> inFlight, Map<LimitKey, Double> demandPerSecond);

    /** Returns whether this entry may act as placement owner with the token at this moment. */
    default boolean mayActAsPlacementOwner(long token) {
        return true;
    }

    /** Tells that a worker refused this entry's token because it has seen a higher one. */
    default void reportTokenRefused(long higherToken) {}

    /** Returns the number of store calls sent so far by what they are for. */
    default Map<String, Long> storeCallCounts() {
        return Map.of();
    }

    /** Returns the fencing token that this entry holds of each role, or 0; at most 1 s old. */
    default Map<String, Long> heldTokens() {
        return Map.of();
    }

    /** Tells which entries the platform's list of VMs shows. */
    default void updateListedEntries(List<ListedEntry> entries) {}

    /** Describes members, roles and versions for the operators' status page, as JSON. */
    String statusJson();
}
