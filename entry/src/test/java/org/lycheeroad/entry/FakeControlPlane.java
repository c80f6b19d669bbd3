package org.lycheeroad.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.routing.ClaimResult;
import org.lycheeroad.entry.control.ControlListener;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.entry.control.CreateJobResult;
import org.lycheeroad.entry.control.SaveTableResult;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableCsv;
import org.lycheeroad.state.table.TableDiff;
import org.lycheeroad.state.table.TableException;
import org.lycheeroad.state.table.TableRow;

/** In-memory control plane with a store that can be made unavailable. */
public final class FakeControlPlane implements ControlPlane {
    public static final String TABLE_CSV =
            """
            team,work,kind,region,weight,limit,guarantee,deadline_ms
            montaz,request,photo,mazowsze,1,,,5000
            montaz,gang,render,mazowsze,1,,,60000
            """;

    public final List<ControlListener> listeners = new CopyOnWriteArrayList<>();
    public final Map<JobId, JobRecord> jobs = new ConcurrentHashMap<>();
    public final Map<String, String> claims = new ConcurrentHashMap<>();
    public final Map<String, Long> storeCalls = new ConcurrentHashMap<>();
    public final Map<String, Long> heldTokens = new ConcurrentHashMap<>(Map.of("limits", 0L));
    public volatile boolean storeAvailable = true;
    public volatile boolean stopped;

    /** Result of each table save; null if the result follows from the versions. */
    public volatile SaveTableResult.Status saveStatusOverride;

    /** Result of each job creation; null if the result follows from the stored jobs. */
    public volatile CreateJobResult.Status createJobStatusOverride;

    private volatile OperatorTable mTable;
    private volatile String mCsv = TABLE_CSV;

    public FakeControlPlane() {
        try {
            mTable = new OperatorTable(1, TableCsv.parse(TABLE_CSV));
        } catch (TableException e) {
            throw new IllegalStateException(e.problems().toString(), e);
        }
    }

    @Override
    public void start() {
        listeners.forEach(listener -> listener.onTableChanged(mTable));
    }

    @Override
    public void stop() {
        stopped = true;
    }

    @Override
    public void addListener(ControlListener listener) {
        listeners.add(listener);
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public Optional<OperatorTable> currentTable() {
        return Optional.ofNullable(mTable);
    }

    @Override
    public String tableCsv() {
        return mCsv;
    }

    /** Removes the table, as on an entry that has not received one yet. */
    public void clearTable() {
        mTable = null;
    }

    @Override
    public CompletableFuture<SaveTableResult> saveTable(String csv, long expectedVersion) {
        OperatorTable table = mTable;
        if (saveStatusOverride != null) {
            return CompletableFuture.completedFuture(
                    new SaveTableResult(saveStatusOverride, table.version(), List.of()));
        }
        try {
            List<TableRow> rows = TableCsv.parse(csv);
            if (expectedVersion != table.version()) {
                return CompletableFuture.completedFuture(
                        new SaveTableResult(
                                SaveTableResult.Status.CONFLICT,
                                table.version(),
                                TableDiff.differences(rows, table.rows())));
            }
            mCsv = csv;
            mTable = new OperatorTable(expectedVersion + 1, rows);
        } catch (TableException e) {
            return CompletableFuture.completedFuture(
                    new SaveTableResult(
                            SaveTableResult.Status.INVALID, expectedVersion, e.problems()));
        }
        return CompletableFuture.completedFuture(
                new SaveTableResult(
                        SaveTableResult.Status.ACCEPTED, expectedVersion + 1, List.of()));
    }

    @Override
    public CompletableFuture<CreateJobResult> createJob(JobSpec spec) {
        if (!storeAvailable || createJobStatusOverride != null) {
            return CompletableFuture.completedFuture(
                    new CreateJobResult(
                            storeAvailable
                                    ? createJobStatusOverride
                                    : CreateJobResult.Status.NOT_STORED,
                            null));
        }
        JobRecord queued = new JobRecord(spec, JobState.QUEUED, "", 0, "");
        JobRecord existing = jobs.putIfAbsent(spec.id(), queued);
        if (existing == null) {
            listeners.forEach(listener -> listener.onJobChanged(queued));
        }
        return CompletableFuture.completedFuture(
                new CreateJobResult(
                        existing == null
                                ? CreateJobResult.Status.CREATED
                                : CreateJobResult.Status.EXISTS,
                        existing == null ? queued : existing));
    }

    @Override
    public void updateJob(JobRecord record) {
        jobs.put(record.spec().id(), record);
    }

    @Override
    public Optional<JobRecord> findJob(JobId job) {
        return Optional.ofNullable(jobs.get(job));
    }

    @Override
    public CompletableFuture<ClaimResult> claim(String team, String key, String attempt) {
        if (!storeAvailable) {
            return CompletableFuture.completedFuture(ClaimResult.UNAVAILABLE);
        }
        String holder = claims.putIfAbsent(team + "/" + key, attempt);
        return CompletableFuture.completedFuture(
                holder == null ? ClaimResult.GRANTED : ClaimResult.ALREADY_CLAIMED);
    }

    @Override
    public void releaseClaim(String team, String key, String attempt) {
        claims.remove(team + "/" + key, attempt);
    }

    @Override
    public CompletableFuture<JobRecord> submitUrgent(JobSpec spec, long timeoutMillis) {
        CompletableFuture<JobRecord> response = new CompletableFuture<>();
        listeners.forEach(listener -> listener.onUrgentSubmit(spec, response));
        return response;
    }

    @Override
    public CompletableFuture<JobRecord> cancelJob(JobId job, long timeoutMillis) {
        CompletableFuture<JobRecord> response = new CompletableFuture<>();
        listeners.forEach(listener -> listener.onCancel(job, response));
        return response;
    }

    @Override
    public void publishLoad(
            Map<TargetId, Integer> inFlight, Map<LimitKey, Double> demandPerSecond) {}

    @Override
    public Map<String, Long> storeCallCounts() {
        return storeCalls;
    }

    @Override
    public Map<String, Long> heldTokens() {
        return heldTokens;
    }

    @Override
    public String statusJson() {
        return "{}";
    }
}
