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

    /** Returns the refusal of a job, or empty if it is to be accepted. */
    CompletableFuture<Optional<ApiResponse>> check(AdmissionRequest request) {
        Optional<KnownLoad> load = mLoad.loadOf(request.queue().service());
        Optional<Admission> refusal =
                load.map(known -> AdmissionPolicy.decide(request, known))
                        .filter(Admission::isRefused);
        if (refusal.isEmpty()
                || mJobStore.isStoreUnavailable()
                || mUncertainJobs.contains(request.id())) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return mJobStore
                .isAbsent(request.id())
                .completeOnTimeout(false, READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .thenApply(
                        absent ->
                                absent
                                        ? Optional.of(refuse(request, refusal.get(), load.get()))
                                        : Optional.empty());
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

    private ApiResponse refuse(AdmissionRequest request, Admission refusal, KnownLoad load) {
        int priority = request.queue().priority();
        mMetrics.countRefusal(refusal.reason().name(), priority);
        mEvents.record(
                EventCode.JOB_NOT_ACCEPTED,
                request.id().value(),
                "queue="
                        + request.queue().name()
                        + " team="
                        + request.team()
                        + " outcome=REFUSED reason="
                        + refusal.reason()
                        + " priority="
                        + priority
                        + " ahead_ms="
                        + refusal.aheadMs()
                        + " latest_start_ms="
                        + refusal.latestStartMs()
                        + " load_age_ms="
                        + load.ageMs()
                        + " epoch="
                        + load.epoch()
                        + " retry_after_s="
                        + refusal.retryAfterSeconds()
                        + " plan="
                        + JobApi.describe(request.plan()));
        return new ApiResponse.Overloaded(refusal.retryAfterSeconds());
    }

    private static final class OldestFirst extends LinkedHashMap<JobId, Boolean> {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Boolean> eldest) {
            return size() > MAX_UNCERTAIN_JOBS;
        }
    }
}
