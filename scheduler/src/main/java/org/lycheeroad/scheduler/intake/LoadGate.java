package org.lycheeroad.scheduler.intake;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.coordination.admission.Admission;
import org.lycheeroad.coordination.admission.AdmissionPolicy;
import org.lycheeroad.coordination.admission.AdmissionRequest;
import org.lycheeroad.coordination.admission.KnownLoad;
import org.lycheeroad.scheduler.load.LoadTracker;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.JobId;

/**
 * Refuses jobs that the known load leaves no room for.
 *
 * <p>A job that is stored, or may be stored by a write of this daemon, is not refused.
 */
public final class LoadGate {
    /**
     * A decision about a job.
     *
     * @param refusal the response with which the job is refused, or empty if it is accepted
     * @param basis the reason and the load that is known, for the log
     */
    record Verdict(Optional<ApiResponse> refusal, String basis) {
        static Verdict accepted(String basis) {
            return new Verdict(Optional.empty(), basis);
        }
    }

    private static final String LOAD_UNKNOWN = "reason=LOAD_UNKNOWN";

    /** Several times the latency to the store; a refusal that takes longer would come too late. */
    private static final long READ_TIMEOUT_MS = 100;

    /** Far more than the writes without an outcome whose callers may still return. */
    private static final int MAX_UNCERTAIN_JOBS = 2_048;

    private final LoadTracker mLoad;
    private final JobStore mJobStore;
    private final EventRecorder mEvents;
    private final NodeMetrics mMetrics;

    /** The jobs whose write may still be applied; the oldest give way to new ones. */
    private final Set<JobId> mUncertainJobs =
            Collections.synchronizedSet(Collections.newSetFromMap(new OldestFirst()));

    public LoadGate(LoadTracker load, JobStore jobs, EventRecorder events, NodeMetrics metrics) {
        mLoad = load;
        mJobStore = jobs;
        mEvents = events;
        mMetrics = metrics;
    }

    /** Decides about a job; nothing has been written for it before. */
    CompletableFuture<Verdict> check(AdmissionRequest request) {
        Optional<KnownLoad> load = mLoad.loadOf(request.queue().service());
        if (load.isEmpty()) {
            return CompletableFuture.completedFuture(Verdict.accepted(LOAD_UNKNOWN));
        }
        Admission admission = AdmissionPolicy.decide(request, load.get());
        String basis = describe(admission, load.get());
        if (!admission.isRefused()
                || mJobStore.isStoreUnavailable()
                || mUncertainJobs.contains(request.id())) {
            return CompletableFuture.completedFuture(Verdict.accepted(basis));
        }
        return mJobStore
                .isAbsent(request.id())
                .completeOnTimeout(false, READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .thenApply(
                        absent ->
                                absent
                                        ? refuse(request, admission, basis)
                                        : Verdict.accepted(basis));
    }

    /** Handles that a write of a job is about to be sent. */
    void onWrite(JobId id) {
        mUncertainJobs.add(id);
    }

    /** Handles the outcome of a write of a job. */
    void onOutcome(AdmissionRequest request, StoreOutcome outcome) {
        if (outcome == StoreOutcome.STORED) {
            mLoad.onAccepted(request.queue(), request.plan());
        }
        if (outcome == StoreOutcome.STORED || outcome == StoreOutcome.REFUSED) {
            mUncertainJobs.remove(request.id());
        }
    }

    private Verdict refuse(AdmissionRequest request, Admission refusal, String basis) {
        int priority = request.queue().priority();
        int retryAfterSeconds = refusal.retryAfterSeconds();
        mMetrics.countRefusal(refusal.reason().name(), priority);
        mEvents.record(
                EventCode.JOB_NOT_ACCEPTED,
                request.id().value(),
                "queue="
                        + request.queue().name()
                        + " team="
                        + request.team()
                        + " outcome=REFUSED "
                        + basis
                        + " priority="
                        + priority
                        + " retry_after_s="
                        + retryAfterSeconds
                        + " plan="
                        + JobApi.describe(request.plan()));
        return new Verdict(Optional.of(new ApiResponse.Overloaded(retryAfterSeconds)), basis);
    }

    private static String describe(Admission admission, KnownLoad load) {
        return "reason="
                + admission.reason()
                + " ahead_ms="
                + admission.aheadMs()
                + " latest_start_ms="
                + admission.latestStartMs()
                + " load_age_ms="
                + load.ageMs()
                + " load_epoch="
                + load.epoch();
    }

    private static final class OldestFirst extends LinkedHashMap<JobId, Boolean> {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Boolean> eldest) {
            return size() > MAX_UNCERTAIN_JOBS;
        }
    }
}
