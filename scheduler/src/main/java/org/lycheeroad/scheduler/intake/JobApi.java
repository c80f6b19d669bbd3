package org.lycheeroad.scheduler.intake;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.lycheeroad.coordination.admission.AdmissionRequest;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.config.ConfigCache;
import org.lycheeroad.scheduler.config.ConfigGate;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.owner.OwnerService;
import org.lycheeroad.scheduler.peer.PeerClient;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.StepPlan;

/**
 * The API through which callers submit, query and cancel jobs.
 *
 * <p>A job is accepted once it is stored. {@link ApiResponse.Unavailable} is returned only if no
 * write was sent that may still be applied; otherwise the outcome is unknown, and the caller has to
 * repeat the request.
 */
public final class JobApi {
    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

    /** The team of jobs that are submitted without a valid API key to a queue that allows it. */
    private static final TeamId NO_TEAM = new TeamId("none");

    /** The fraction of a request's time-out after which a write is not attempted again. */
    private static final double RETRY_TIME_FRACTION = 0.55;

    private static final long RETRY_INTERVAL_MS = 120;

    /** How often a count is asked for again; a new daemon learns the owner within this time. */
    private static final int MAX_COUNT_RETRIES = 4;

    /** Store outages and failovers last some seconds; a second spreads the retries over time. */
    private static final int RETRY_AFTER_S = 1;

    private final ConfigCache mConfigCache;
    private final ConfigGate mConfigGate;
    private final JobStore mJobStore;
    private final OwnerService mOwnerService;
    private final PeerClient mPeers;
    private final LoadGate mLoadGate;
    private final SerialExecutor mExecutor;
    private final Clock mClock;
    private final EventRecorder mEvents;

    public JobApi(
            ConfigCache config,
            JobStore jobs,
            OwnerService owner,
            PeerClient peers,
            LoadGate loadGate,
            SerialExecutor executor,
            Clock clock,
            EventRecorder events,
            NodeMetrics metrics) {
        mConfigCache = config;
        mConfigGate = new ConfigGate(config, clock, events, metrics);
        mJobStore = jobs;
        mOwnerService = owner;
        mPeers = peers;
        mLoadGate = loadGate;
        mExecutor = executor;
        mClock = clock;
        mEvents = events;
    }

    /** Stores a job so that it will run. */
    public CompletableFuture<ApiResponse> submit(ApiRequest request, JobPlan plan) {
        return withQueue(
                request,
                access -> {
                    Optional<JobId> id = parseJobId(request, access);
                    if (id.isEmpty()) {
                        return completed(
                                (ApiResponse)
                                        new ApiResponse.Malformed("the path must end in a job id"));
                    }
                    AdmissionRequest job =
                            new AdmissionRequest(
                                    id.get(),
                                    access.team,
                                    access.guaranteedAccelerators,
                                    access.queue,
                                    plan,
                                    request.timeoutMs());
                    return mLoadGate
                            .check(job)
                            .thenCompose(
                                    verdict ->
                                            verdict.refusal().isPresent()
                                                    ? completed(verdict.refusal().get())
                                                    : store(request, job, verdict.basis()));
                });
    }

    private CompletableFuture<ApiResponse> store(
            ApiRequest request, AdmissionRequest job, String basis) {
        JobRecord record =
                new JobRecord(
                        job.queue().name(),
                        job.team(),
                        job.plan(),
                        mClock.wallMs(),
                        job.queue().settings());
        mLoadGate.onWrite(job.id());
        return writeWithRetries(
                        request,
                        () -> mJobStore.accept(job.id(), record),
                        () -> mPeers.acceptViaPeers(job.id(), record))
                .thenApply(outcome -> onSubmitOutcome(job, basis, outcome));
    }

    /** Cancels a job. */
    public CompletableFuture<ApiResponse> cancel(ApiRequest request) {
        return withQueue(
                request,
                access -> {
                    Optional<JobId> id = parseJobId(request, access);
                    if (id.isEmpty()) {
                        return completed((ApiResponse) new ApiResponse.JobNotFound());
                    }
                    return writeWithRetries(
                                    request,
                                    () -> mJobStore.cancel(id.get()),
                                    () -> mPeers.cancelViaPeers(id.get()))
                            .thenApply(outcome -> onCancelOutcome(id.get(), outcome));
                });
    }

    /** Returns a job's state, or the number of unstarted jobs if the path names only a queue. */
    public CompletableFuture<ApiResponse> query(ApiRequest request) {
        return withQueue(
                request,
                access -> {
                    if (request.path().length() <= access.queue.pathPrefix().length()) {
                        return readPendingCount(access, MAX_COUNT_RETRIES);
                    }
                    Optional<JobId> id = parseJobId(request, access);
                    return id.isEmpty()
                            ? completed((ApiResponse) new ApiResponse.JobNotFound())
                            : readJobState(id.get());
                });
    }

    /** The queue and team of a request, or the response with which it is rejected. */
    private record QueueAccess(
            QueueConfig queue, TeamId team, int guaranteedAccelerators, ApiResponse rejection) {}

    private CompletableFuture<ApiResponse> withQueue(
            ApiRequest request, Function<QueueAccess, CompletableFuture<ApiResponse>> action) {
        return mConfigGate
                .configFor(request.path(), config -> checkAccess(config, request).rejection == null)
                .thenCompose(
                        config -> {
                            if (config.isEmpty()) {
                                return completed(
                                        (ApiResponse) new ApiResponse.Unavailable(RETRY_AFTER_S));
                            }
                            QueueAccess access = checkAccess(config.get(), request);
                            return access.rejection == null
                                    ? action.apply(access)
                                    : completed(access.rejection);
                        });
    }

    private static QueueAccess checkAccess(ClusterConfig config, ApiRequest request) {
        Optional<QueueConfig> queue = config.queueFor(request.host(), request.path());
        if (queue.isEmpty()) {
            return new QueueAccess(null, null, 0, new ApiResponse.QueueNotFound());
        }
        Optional<TeamId> team = config.teamOf(request.apiKey());
        if (team.isEmpty() && !queue.get().anonymous()) {
            return new QueueAccess(null, null, 0, new ApiResponse.InvalidApiKey());
        }
        TeamId knownTeam = team.orElse(NO_TEAM);
        return new QueueAccess(
                queue.get(), knownTeam, config.guaranteedAccelerators(knownTeam), null);
    }

    /**
     * Writes to the store directly and, if the outcome is not definite, via the owner or other
     * daemons. Repeats this until the outcome is definite, the store is unavailable or the time for
     * retries is over.
     */
    private CompletableFuture<StoreOutcome> writeWithRetries(
            ApiRequest request,
            Supplier<CompletableFuture<StoreOutcome>> direct,
            Supplier<CompletableFuture<StoreOutcome>> viaPeers) {
        CompletableFuture<StoreOutcome> result = new CompletableFuture<>();
        long retryUntilMs =
                mClock.monotonicMs() + Math.round(request.timeoutMs() * RETRY_TIME_FRACTION);
        attemptWrite(direct, viaPeers, retryUntilMs, false, result);
        return result;
    }

    private void attemptWrite(
            Supplier<CompletableFuture<StoreOutcome>> direct,
            Supplier<CompletableFuture<StoreOutcome>> viaPeers,
            long retryUntilMs,
            boolean mayBeStoredBefore,
            CompletableFuture<StoreOutcome> result) {
        mExecutor.whenComplete(
                direct.get(),
                (outcome, e) -> {
                    if (isFinal(outcome)) {
                        result.complete(outcome);
                        return;
                    }
                    boolean mayBeStored = mayBeStoredBefore || outcome != StoreOutcome.REFUSED;
                    mExecutor.whenComplete(
                            viaPeers.get(),
                            (relayedOutcome, x) ->
                                    finishOrRetry(
                                            direct,
                                            viaPeers,
                                            retryUntilMs,
                                            mayBeStored,
                                            relayedOutcome,
                                            result));
                });
    }

    private void finishOrRetry(
            Supplier<CompletableFuture<StoreOutcome>> direct,
            Supplier<CompletableFuture<StoreOutcome>> viaPeers,
            long retryUntilMs,
            boolean mayBeStoredBefore,
            StoreOutcome outcome,
            CompletableFuture<StoreOutcome> result) {
        if (isFinal(outcome)) {
            result.complete(outcome);
            return;
        }
        boolean mayBeStored = mayBeStoredBefore || outcome != StoreOutcome.REFUSED;
        if (mJobStore.isStoreUnavailable()
                || mClock.monotonicMs() + RETRY_INTERVAL_MS >= retryUntilMs) {
            result.complete(mayBeStored ? StoreOutcome.UNKNOWN : StoreOutcome.REFUSED);
            return;
        }
        mExecutor.schedule(
                RETRY_INTERVAL_MS,
                () -> attemptWrite(direct, viaPeers, retryUntilMs, mayBeStored, result));
    }

    private ApiResponse onSubmitOutcome(AdmissionRequest job, String basis, StoreOutcome outcome) {
        mLoadGate.onOutcome(job, outcome);
        EventCode code =
                outcome == StoreOutcome.STORED
                        ? EventCode.JOB_ACCEPTED
                        : EventCode.JOB_NOT_ACCEPTED;
        mEvents.record(
                code,
                job.id().value(),
                "queue="
                        + job.queue().name()
                        + " team="
                        + job.team()
                        + " outcome="
                        + outcome
                        + ' '
                        + basis
                        + " config_age_ms="
                        + mConfigCache.ageMs()
                        + " plan="
                        + describe(job.plan()));
        return switch (outcome) {
            case STORED -> new ApiResponse.Accepted();
            case REFUSED -> new ApiResponse.Unavailable(RETRY_AFTER_S);
            case NO_JOB, UNKNOWN -> new ApiResponse.OutcomeUnknown();
        };
    }

    private ApiResponse onCancelOutcome(JobId id, StoreOutcome outcome) {
        mEvents.record(EventCode.JOB_CANCEL_REQUESTED, id.value(), "outcome=" + outcome);
        return switch (outcome) {
            case STORED -> new ApiResponse.Cancelled();
            case NO_JOB -> new ApiResponse.JobNotFound();
            case REFUSED -> new ApiResponse.Unavailable(RETRY_AFTER_S);
            case UNKNOWN -> new ApiResponse.OutcomeUnknown();
        };
    }

    /**
     * Reads a job's state from the owner, which knows the newest one, or else from the store, which
     * also has the jobs that a new owner has not loaded yet.
     */
    private CompletableFuture<ApiResponse> readJobState(JobId id) {
        return mOwnerService
                .stateOf(id)
                .thenCompose(own -> own.isPresent() ? completed(own) : mPeers.fetchState(id))
                .thenCompose(
                        state ->
                                state.isPresent()
                                        ? completed(
                                                (ApiResponse) new ApiResponse.JobState(state.get()))
                                        : readStoredState(id));
    }

    private CompletableFuture<ApiResponse> readStoredState(JobId id) {
        return mJobStore
                .readState(id)
                .handle(
                        (state, e) -> {
                            if (e != null) {
                                return new ApiResponse.Unavailable(RETRY_AFTER_S);
                            }
                            return state.<ApiResponse>map(ApiResponse.JobState::new)
                                    .orElseGet(ApiResponse.JobNotFound::new);
                        });
    }

    /** Reads the count from the owner, which a daemon that has just started does not know yet. */
    private CompletableFuture<ApiResponse> readPendingCount(QueueAccess access, int retries) {
        boolean mayLearnOwner = !mOwnerService.hasReadOwner();
        return mOwnerService
                .pendingCount(access.queue.name())
                .thenCompose(
                        own ->
                                own.isPresent()
                                        ? completed(own)
                                        : mPeers.fetchPendingCount(access.queue.name()))
                .thenCompose(
                        count -> {
                            if (count.isEmpty() && retries > 0 && mayLearnOwner) {
                                CompletableFuture<ApiResponse> retried = new CompletableFuture<>();
                                mExecutor.schedule(
                                        RETRY_INTERVAL_MS,
                                        () ->
                                                readPendingCount(access, retries - 1)
                                                        .thenAccept(retried::complete));
                                return retried;
                            }
                            return completed(
                                    count.<ApiResponse>map(ApiResponse.PendingCount::new)
                                            .orElseGet(
                                                    () ->
                                                            new ApiResponse.Unavailable(
                                                                    RETRY_AFTER_S)));
                        });
    }

    private static Optional<JobId> parseJobId(ApiRequest request, QueueAccess access) {
        String id = request.path().substring(access.queue.pathPrefix().length());
        return JOB_ID.matcher(id).matches() ? Optional.of(new JobId(id)) : Optional.empty();
    }

    /** Summarizes a job's steps: number of tasks, resources of each, and constraints. */
    static String describe(JobPlan plan) {
        StringBuilder text = new StringBuilder();
        for (StepPlan step : plan.steps()) {
            text.append(text.length() == 0 ? "" : ",")
                    .append(step.count())
                    .append('x')
                    .append(step.need().accelerators())
                    .append('a')
                    .append(step.need().cpuMillis() / 1_000)
                    .append('c')
                    .append(step.need().memoryMb() / 1_024)
                    .append("g~")
                    .append(step.estimateMs())
                    .append(step.gang() ? "/gang" : "")
                    .append(step.rackLocal() ? "/rack" : "")
                    .append(step.dataRack().isEmpty() ? "" : "/near:" + step.dataRack())
                    .append(step.requiredLabel().isEmpty() ? "" : "/on:" + step.requiredLabel())
                    .append(step.maxPerWorker() > 0 ? "/most:" + step.maxPerWorker() : "")
                    .append(step.checkpointing() ? "/saves" : "")
                    .append(step.longRunning() ? "/lasts" : "")
                    .append(step.fills() ? "/fills" : "")
                    .append(step.speculative() ? "/copies" : "")
                    .append(step.tailTargetMs() > 0 ? "/tail:" + step.tailTargetMs() : "")
                    .append(step.mayMiss() > 0 ? "/miss:" + step.mayMiss() : "");
        }
        return plan.isTimed() ? text + "/times:" + plan.repeatCount() : text.toString();
    }

    private static boolean isFinal(StoreOutcome outcome) {
        return outcome == StoreOutcome.STORED || outcome == StoreOutcome.NO_JOB;
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
