package org.lycheeroad.scheduler.intake;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.config.ConfigKeeper;
import org.lycheeroad.scheduler.log.Events;
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
 * Serves the calls of callers.
 *
 * <p>A job is accepted once the store has it. A refusal is given only if no write was sent that may
 * still be carried out; otherwise the outcome is unknown and the caller asks again.
 */
public final class JobApi {
    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

    /** Jobs of queues without keys belong to no team. */
    private static final TeamId NO_TEAM = new TeamId("none");

    /** The share of a caller's time after which nothing is tried again. */
    private static final double TRY_SHARE = 0.55;

    private static final long RETRY_MS = 120;

    /** Outages of the store and failovers take some seconds; a second spreads the return. */
    private static final int RETRY_AFTER_S = 1;

    private final ConfigKeeper mConfig;
    private final JobStore mJobs;
    private final OwnerService mOwner;
    private final PeerClient mPeers;
    private final SerialExecutor mStrand;
    private final Clock mClock;
    private final Events mEvents;

    public JobApi(
            ConfigKeeper config,
            JobStore jobs,
            OwnerService owner,
            PeerClient peers,
            SerialExecutor strand,
            Clock clock,
            Events events) {
        mConfig = config;
        mJobs = jobs;
        mOwner = owner;
        mPeers = peers;
        mStrand = strand;
        mClock = clock;
        mEvents = events;
    }

    /** Accepts a job. */
    public CompletableFuture<CallerAnswer> submit(CallerRequest request, JobPlan plan) {
        return withQueue(
                request,
                access -> {
                    Optional<JobId> id = jobId(request, access);
                    if (id.isEmpty()) {
                        return done(
                                (CallerAnswer)
                                        new CallerAnswer.Malformed(
                                                "the path must end in a job id"));
                    }
                    JobRecord record =
                            new JobRecord(access.queue.name(), access.team, plan, mClock.wallMs());
                    return write(
                                    request,
                                    () -> mJobs.accept(id.get(), record),
                                    () -> mPeers.accept(id.get(), record))
                            .thenApply(outcome -> onAccept(id.get(), access, plan, outcome));
                });
    }

    /** Cancels a job. */
    public CompletableFuture<CallerAnswer> cancel(CallerRequest request) {
        return withQueue(
                request,
                access -> {
                    Optional<JobId> id = jobId(request, access);
                    if (id.isEmpty()) {
                        return done((CallerAnswer) new CallerAnswer.NoJob());
                    }
                    return write(
                                    request,
                                    () -> mJobs.cancel(id.get()),
                                    () -> mPeers.cancel(id.get()))
                            .thenApply(outcome -> onCancel(id.get(), outcome));
                });
    }

    /** Returns a job's state, or the number of jobs that have not begun if no job is named. */
    public CompletableFuture<CallerAnswer> get(CallerRequest request) {
        return withQueue(
                request,
                access -> {
                    if (request.path().length() <= access.queue.pathPrefix().length()) {
                        return pending(access);
                    }
                    Optional<JobId> id = jobId(request, access);
                    return id.isEmpty()
                            ? done((CallerAnswer) new CallerAnswer.NoJob())
                            : state(id.get());
                });
    }

    /** What a caller may use, or why it may not. */
    private record Access(QueueConfig queue, TeamId team, CallerAnswer refusal) {}

    private CompletableFuture<CallerAnswer> withQueue(
            CallerRequest request, Function<Access, CompletableFuture<CallerAnswer>> action) {
        Optional<CompletableFuture<Optional<ClusterConfig>>> confirmation =
                mJobs.isAway() ? Optional.empty() : mConfig.confirmation();
        if (confirmation.isPresent()) {
            return confirmation.get().thenCompose(any -> withNewestQueue(request, action));
        }
        return withNewestQueue(request, action);
    }

    private CompletableFuture<CallerAnswer> withNewestQueue(
            CallerRequest request, Function<Access, CompletableFuture<CallerAnswer>> action) {
        Optional<Access> known = mConfig.current().map(config -> check(config, request));
        if (known.isPresent() && known.get().refusal == null) {
            return action.apply(known.get());
        }
        // A refusal must not rest on a configuration that has been replaced.
        return mConfig.confirm()
                .thenCompose(
                        config -> {
                            if (config.isEmpty()) {
                                return done(
                                        (CallerAnswer) new CallerAnswer.Unavailable(RETRY_AFTER_S));
                            }
                            Access access = check(config.get(), request);
                            return access.refusal == null
                                    ? action.apply(access)
                                    : done(access.refusal);
                        });
    }

    private static Access check(ClusterConfig config, CallerRequest request) {
        Optional<QueueConfig> queue = config.queueFor(request.host(), request.path());
        if (queue.isEmpty()) {
            return new Access(null, null, new CallerAnswer.NoQueue());
        }
        Optional<TeamId> team = config.teamOf(request.apiKey());
        if (team.isEmpty() && !queue.get().anonymous()) {
            return new Access(null, null, new CallerAnswer.BadKey());
        }
        return new Access(queue.get(), team.orElse(NO_TEAM), null);
    }

    /**
     * Writes to the store, by the owner while the store does not serve this VM, until the outcome
     * is known or the caller's time runs out.
     */
    private CompletableFuture<StoreOutcome> write(
            CallerRequest request,
            Supplier<CompletableFuture<StoreOutcome>> direct,
            Supplier<CompletableFuture<StoreOutcome>> byOwner) {
        CompletableFuture<StoreOutcome> result = new CompletableFuture<>();
        long giveUpAt = mClock.monotonicMs() + Math.round(request.budgetMs() * TRY_SHARE);
        tryWrite(direct, byOwner, giveUpAt, false, result);
        return result;
    }

    private void tryWrite(
            Supplier<CompletableFuture<StoreOutcome>> direct,
            Supplier<CompletableFuture<StoreOutcome>> byOwner,
            long giveUpAt,
            boolean unknownBefore,
            CompletableFuture<StoreOutcome> result) {
        mStrand.whenComplete(
                direct.get(),
                (outcome, e) -> {
                    if (isFinal(outcome)) {
                        result.complete(outcome);
                        return;
                    }
                    boolean unknown = unknownBefore || outcome != StoreOutcome.REFUSED;
                    if (mPeers.hasOwner()) {
                        mStrand.whenComplete(
                                byOwner.get(),
                                (relayed, x) ->
                                        goOn(direct, byOwner, giveUpAt, unknown, relayed, result));
                    } else {
                        goOn(direct, byOwner, giveUpAt, unknown, StoreOutcome.REFUSED, result);
                    }
                });
    }

    private void goOn(
            Supplier<CompletableFuture<StoreOutcome>> direct,
            Supplier<CompletableFuture<StoreOutcome>> byOwner,
            long giveUpAt,
            boolean unknownBefore,
            StoreOutcome outcome,
            CompletableFuture<StoreOutcome> result) {
        if (isFinal(outcome)) {
            result.complete(outcome);
            return;
        }
        boolean unknown = unknownBefore || outcome != StoreOutcome.REFUSED;
        if (mJobs.isAway() || mClock.monotonicMs() + RETRY_MS >= giveUpAt) {
            result.complete(unknown ? StoreOutcome.UNKNOWN : StoreOutcome.REFUSED);
            return;
        }
        mStrand.schedule(RETRY_MS, () -> tryWrite(direct, byOwner, giveUpAt, unknown, result));
    }

    private CallerAnswer onAccept(JobId id, Access access, JobPlan plan, StoreOutcome outcome) {
        EventCode code =
                outcome == StoreOutcome.STORED
                        ? EventCode.JOB_ACCEPTED
                        : EventCode.JOB_NOT_ACCEPTED;
        mEvents.record(
                code,
                id.value(),
                "queue="
                        + access.queue.name()
                        + " team="
                        + access.team
                        + " outcome="
                        + outcome
                        + " config_age_ms="
                        + mConfig.ageMs()
                        + " plan="
                        + describe(plan));
        return switch (outcome) {
            case STORED -> new CallerAnswer.Accepted();
            case REFUSED -> new CallerAnswer.Unavailable(RETRY_AFTER_S);
            case NO_JOB, UNKNOWN -> new CallerAnswer.Unknown();
        };
    }

    private CallerAnswer onCancel(JobId id, StoreOutcome outcome) {
        mEvents.record(EventCode.JOB_CANCEL_REQUESTED, id.value(), "outcome=" + outcome);
        return switch (outcome) {
            case STORED -> new CallerAnswer.Cancelled();
            case NO_JOB -> new CallerAnswer.NoJob();
            case REFUSED -> new CallerAnswer.Unavailable(RETRY_AFTER_S);
            case UNKNOWN -> new CallerAnswer.Unknown();
        };
    }

    /** The owner knows the newest state; the store knows what a new owner has yet to read. */
    private CompletableFuture<CallerAnswer> state(JobId id) {
        return mOwner.stateOf(id)
                .thenCompose(own -> own.isPresent() ? done(own) : mPeers.state(id))
                .thenCompose(
                        state ->
                                state.isPresent()
                                        ? done((CallerAnswer) new CallerAnswer.State(state.get()))
                                        : storedState(id));
    }

    private CompletableFuture<CallerAnswer> storedState(JobId id) {
        return mJobs.state(id)
                .handle(
                        (state, e) -> {
                            if (e != null) {
                                return new CallerAnswer.Unavailable(RETRY_AFTER_S);
                            }
                            return state.<CallerAnswer>map(CallerAnswer.State::new)
                                    .orElseGet(CallerAnswer.NoJob::new);
                        });
    }

    private CompletableFuture<CallerAnswer> pending(Access access) {
        return mOwner.pending(access.queue.name())
                .thenCompose(
                        own -> own.isPresent() ? done(own) : mPeers.pending(access.queue.name()))
                .thenApply(
                        count ->
                                count.<CallerAnswer>map(CallerAnswer.Pending::new)
                                        .orElseGet(
                                                () -> new CallerAnswer.Unavailable(RETRY_AFTER_S)));
    }

    private static Optional<JobId> jobId(CallerRequest request, Access access) {
        String id = request.path().substring(access.queue.pathPrefix().length());
        return JOB_ID.matcher(id).matches() ? Optional.of(new JobId(id)) : Optional.empty();
    }

    /** Returns the steps of a job in short: tasks, what each needs, and where they must run. */
    private static String describe(JobPlan plan) {
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

    private static <T> CompletableFuture<T> done(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
