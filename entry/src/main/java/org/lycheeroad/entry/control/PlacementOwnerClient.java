package org.lycheeroad.entry.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.protocol.peer.CancelJob;
import org.lycheeroad.protocol.peer.CancelJobReply;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.protocol.peer.UrgentSubmit;
import org.lycheeroad.protocol.peer.UrgentSubmitReply;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.transport.peer.PeerException;

/** Sends urgent jobs and cancellations to placement owners. */
final class PlacementOwnerClient {
    /** Finds placement owners and sends requests to them. */
    interface OwnerResolver {
        /** Returns the entry that owns the placement of a region, if known. */
        Optional<EntryId> findOwner(RegionId region);

        /** Sends a request to a peer. */
        CompletableFuture<PeerFrame> sendRequest(
                EntryId to, PeerFrame.Builder frame, long timeoutMillis);
    }

    private static final long RETRY_DELAY_MILLIS = 200;
    private static final long CANCEL_ATTEMPT_TIMEOUT_MILLIS = 2_000;

    /** A submission in progress; times are in milliseconds of {@link ControlLoop#nowMillis()}. */
    private record Submission(
            JobSpec spec,
            long deadlineMillis,
            long retryUntilMillis,
            CompletableFuture<JobRecord> result) {}

    /** A cancellation in progress; times are in milliseconds of {@link ControlLoop#nowMillis()}. */
    private record Cancellation(
            JobId job,
            List<RegionId> regions,
            long deadlineMillis,
            CompletableFuture<JobRecord> result) {}

    private final EntryId mLocalEntry;
    private final ControlLoop mLoop;
    private final OwnerResolver mOwnerResolver;
    private final Function<JobSpec, CompletableFuture<JobRecord>> mSubmitLocally;
    private final Function<JobId, CompletableFuture<JobRecord>> mCancelLocally;

    PlacementOwnerClient(
            EntryId localEntry,
            ControlLoop loop,
            OwnerResolver ownerResolver,
            Function<JobSpec, CompletableFuture<JobRecord>> submitLocally,
            Function<JobId, CompletableFuture<JobRecord>> cancelLocally) {
        mLocalEntry = localEntry;
        mLoop = loop;
        mOwnerResolver = ownerResolver;
        mSubmitLocally = submitLocally;
        mCancelLocally = cancelLocally;
    }

    /**
     * Submits an urgent job; may be called on any thread.
     *
     * <p>While no owner accepts the job, it is retried for half of the timeout. The result is
     * {@code NOT_RUN} only if no owner received the job, and {@code UNKNOWN} if the owner did not
     * reply in time.
     */
    CompletableFuture<JobRecord> submit(JobSpec spec, long timeoutMillis) {
        long nowMillis = ControlLoop.nowMillis();
        CompletableFuture<JobRecord> result = new CompletableFuture<>();
        Submission submission =
                new Submission(
                        spec, nowMillis + timeoutMillis, nowMillis + timeoutMillis / 2, result);
        if (!mLoop.tryExecute(() -> trySubmit(submission))) {
            result.complete(notOwnerRecord(spec));
        }
        return result;
    }

    /**
     * Cancels a job at the first owner of the regions that knows it; may be called on any thread.
     *
     * <p>The result is {@code UNKNOWN}, without a spec, if no owner confirms the job in time.
     */
    CompletableFuture<JobRecord> cancel(JobId job, List<RegionId> regions, long timeoutMillis) {
        CompletableFuture<JobRecord> result = new CompletableFuture<>();
        Cancellation cancellation =
                new Cancellation(job, regions, ControlLoop.nowMillis() + timeoutMillis, result);
        if (!mLoop.tryExecute(() -> tryCancel(cancellation, 0))) {
            result.complete(notOwnerRecord());
        }
        return result;
    }

    /** Handles a submission from a peer. */
    void onSubmit(UrgentSubmit message, Consumer<PeerFrame.Builder> reply) {
        try {
            JobSpec spec = Json.read(message.getSpecJson(), JobSpec.class);
            mSubmitLocally
                    .apply(spec)
                    .thenAccept(
                            record ->
                                    reply.accept(
                                            PeerFrame.newBuilder()
                                                    .setUrgentSubmitReply(
                                                            UrgentSubmitReply.newBuilder()
                                                                    .setState(record.state().name())
                                                                    .setReason(record.reason())
                                                                    .setRecordJson(
                                                                            Json.write(record)))));
        } catch (JsonException e) {
            reply.accept(
                    PeerFrame.newBuilder()
                            .setUrgentSubmitReply(
                                    UrgentSubmitReply.newBuilder()
                                            .setState(JobState.NOT_RUN.name())
                                            .setReason("job not readable")));
        }
    }

    /** Handles a cancellation from a peer. */
    void onCancel(CancelJob message, Consumer<PeerFrame.Builder> reply) {
        mCancelLocally
                .apply(new JobId(message.getJob()))
                .thenAccept(
                        record -> {
                            CancelJobReply.Builder body =
                                    CancelJobReply.newBuilder()
                                            .setState(record.state().name())
                                            .setReason(record.reason());
                            if (record.spec() != null) {
                                body.setRecordJson(Json.write(record));
                            }
                            reply.accept(PeerFrame.newBuilder().setCancelJobReply(body));
                        });
    }

    /** Returns the result of a submission at an entry that is not the placement owner. */
    static JobRecord notOwnerRecord(JobSpec spec) {
        return newRecord(spec, JobState.NOT_RUN, ControlListener.NOT_PLACEMENT_OWNER);
    }

    /** Returns the result of a cancellation at an entry that is not the placement owner. */
    static JobRecord notOwnerRecord() {
        return newRecord(null, JobState.UNKNOWN, ControlListener.NOT_PLACEMENT_OWNER);
    }

    private void trySubmit(Submission submission) {
        Optional<EntryId> owner = mOwnerResolver.findOwner(submission.spec().region());
        if (owner.isEmpty()) {
            retrySubmission(submission);
            return;
        }
        mLoop.whenComplete(
                sendSubmission(owner.get(), submission),
                (record, failure) -> {
                    if (failure != null) {
                        onSubmitFailed(submission, unwrap(failure));
                    } else if (ControlListener.NOT_PLACEMENT_OWNER.equals(record.reason())) {
                        retrySubmission(submission);
                    } else {
                        submission.result().complete(record);
                    }
                });
    }

    private CompletableFuture<JobRecord> sendSubmission(EntryId owner, Submission submission) {
        JobSpec spec = submission.spec();
        long remainingMillis = submission.deadlineMillis() - ControlLoop.nowMillis();
        if (owner.equals(mLocalEntry)) {
            CompletableFuture<JobRecord> answer = mSubmitLocally.apply(spec);
            String reason = "no answer from placement";
            mLoop.schedule(
                    Math.max(0, remainingMillis),
                    () -> answer.complete(newRecord(spec, JobState.UNKNOWN, reason)));
            return answer;
        }
        PeerFrame.Builder frame =
                PeerFrame.newBuilder()
                        .setUrgentSubmit(UrgentSubmit.newBuilder().setSpecJson(Json.write(spec)));
        return mOwnerResolver
                .sendRequest(owner, frame, Math.max(1, remainingMillis))
                .thenApply(reply -> parseReply(spec, reply.getUrgentSubmitReply()));
    }

    private void onSubmitFailed(Submission submission, Throwable failure) {
        if (failure instanceof PeerException peerFailure && !peerFailure.mayHaveBeenReceived()) {
            retrySubmission(submission);
            return;
        }
        String reason = "the placement owner did not answer";
        submission.result().complete(newRecord(submission.spec(), JobState.UNKNOWN, reason));
    }

    private void retrySubmission(Submission submission) {
        if (ControlLoop.nowMillis() >= submission.retryUntilMillis()) {
            JobRecord notRun = newRecord(submission.spec(), JobState.NOT_RUN, "no placement owner");
            submission.result().complete(notRun);
        } else {
            mLoop.schedule(RETRY_DELAY_MILLIS, () -> trySubmit(submission));
        }
    }

    private void tryCancel(Cancellation cancellation, int regionIndex) {
        CompletableFuture<JobRecord> result = cancellation.result();
        long remainingMillis = cancellation.deadlineMillis() - ControlLoop.nowMillis();
        if (remainingMillis <= 0 || result.isDone()) {
            result.complete(newRecord(null, JobState.UNKNOWN, "no placement owner knows the job"));
            return;
        }
        Optional<EntryId> owner = mOwnerResolver.findOwner(cancellation.regions().get(regionIndex));
        if (owner.isEmpty()) {
            tryNextRegion(cancellation, regionIndex);
            return;
        }
        CompletableFuture<JobRecord> answer =
                sendCancellation(owner.get(), cancellation.job(), remainingMillis);
        mLoop.schedule(remainingMillis, () -> answer.complete(notOwnerRecord()));
        mLoop.whenComplete(
                answer,
                (record, failure) -> {
                    if (failure == null && record.spec() != null) {
                        result.complete(record);
                    } else {
                        tryNextRegion(cancellation, regionIndex);
                    }
                });
    }

    private CompletableFuture<JobRecord> sendCancellation(
            EntryId owner, JobId job, long remainingMillis) {
        if (owner.equals(mLocalEntry)) {
            return mCancelLocally.apply(job);
        }
        PeerFrame.Builder frame =
                PeerFrame.newBuilder().setCancelJob(CancelJob.newBuilder().setJob(job.value()));
        return mOwnerResolver
                .sendRequest(owner, frame, Math.min(CANCEL_ATTEMPT_TIMEOUT_MILLIS, remainingMillis))
                .thenApply(reply -> parseReply(reply.getCancelJobReply()));
    }

    /** Tries the next region immediately; after the last one, starts over after a delay. */
    private void tryNextRegion(Cancellation cancellation, int regionIndex) {
        boolean isLastRegion = regionIndex == cancellation.regions().size() - 1;
        mLoop.schedule(
                isLastRegion ? RETRY_DELAY_MILLIS : 0,
                () -> tryCancel(cancellation, isLastRegion ? 0 : regionIndex + 1));
    }

    private static JobRecord parseReply(JobSpec spec, UrgentSubmitReply reply) {
        try {
            return Json.read(reply.getRecordJson(), JobRecord.class);
        } catch (JsonException e) {
            boolean notRun = JobState.NOT_RUN.name().equals(reply.getState());
            return newRecord(spec, notRun ? JobState.NOT_RUN : JobState.UNKNOWN, reply.getReason());
        }
    }

    private static JobRecord parseReply(CancelJobReply reply) {
        try {
            return Json.read(reply.getRecordJson(), JobRecord.class);
        } catch (JsonException e) {
            return newRecord(null, JobState.UNKNOWN, reply.getReason());
        }
    }

    private static JobRecord newRecord(JobSpec spec, JobState state, String reason) {
        return new JobRecord(spec, state, reason, 0, "");
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }
}
