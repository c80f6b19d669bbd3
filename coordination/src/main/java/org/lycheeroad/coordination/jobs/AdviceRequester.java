package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.WorkerId;

/**
 * Asks placement policies about the steps that a round could not place completely, best rank first.
 *
 * <p>A policy handles the requests of a VM one by one and needs time for each listed worker.
 * Therefore the number of pending requests is small, and a request lists only workers on which the
 * step currently fits.
 */
final class AdviceRequester {
    /** One request in progress and one queued at the policy, which hides the round trip. */
    private static final int MAX_PENDING_REQUESTS = 2;

    /** The most workers in a request; the users' objectives allow for 30. */
    private static final int MAX_WORKERS_PER_REQUEST = 30;

    /** The delay until the next request for a step after one that was refused or not answered. */
    private static final long RETRY_MS = 300;

    private final ClusterState mState;
    private List<AdviceRequest> mNewRequests = new ArrayList<>();
    private int mPendingRequests;

    AdviceRequester(ClusterState state) {
        mState = state;
    }

    /** Returns the new requests since the last call. */
    List<AdviceRequest> takeRequests() {
        List<AdviceRequest> requests = mNewRequests;
        mNewRequests = new ArrayList<>();
        return requests;
    }

    /** Requests a decision about workers for some pending tasks of a step. */
    void request(StepInstance step, int pending, long nowMs) {
        if (step.job.queue.advice() == null
                || step.policyDecisions.requestPending
                || nowMs < step.policyDecisions.retryAtMs
                || mPendingRequests >= MAX_PENDING_REQUESTS) {
            return;
        }
        List<WorkerId> workers = candidateWorkers(step, pending, nowMs);
        if (!workers.isEmpty()) {
            step.policyDecisions.requestPending = true;
            mPendingRequests++;
            mNewRequests.add(new AdviceRequest(step.job.id, step.occurrence, step.index, workers));
        }
    }

    /** Applies the answer to a request; {@code tickets} is null if there was none. */
    void onAnswer(AdviceRequest request, Map<WorkerId, String> tickets, long validMs, long nowMs) {
        mPendingRequests--;
        Job job = mState.activeJobs.get(request.job());
        if (job == null || !job.occurrences.containsKey(request.occurrence())) {
            return;
        }
        PolicyDecisions decisions =
                job.occurrences.get(request.occurrence()).get(request.step()).policyDecisions;
        decisions.requestPending = false;
        if (tickets == null) {
            decisions.retryAtMs = nowMs + RETRY_MS;
            return;
        }
        List<Worker> requested = new ArrayList<>();
        for (WorkerId id : request.workers()) {
            Worker worker = mState.workers.get(id);
            if (worker != null) {
                requested.add(worker);
            }
        }
        decisions.onAnswer(requested, tickets, validMs, nowMs);
    }

    /**
     * Returns the workers to ask about: those without a valid ticket on which a task fits.
     *
     * <p>If workers that the policy has allowed before suffice, only these are returned. Workers on
     * the rack of the data come first, then, for rack-local steps, the racks that fit most tasks.
     */
    private List<WorkerId> candidateWorkers(StepInstance step, int pending, long nowMs) {
        Map<Worker, Integer> fittingTasks = new HashMap<>();
        Map<RackId, Integer> fittingTasksOfRack = new HashMap<>();
        int allowed = 0;
        for (Worker worker : mState.workers.values()) {
            if (worker.isSchedulable(nowMs)
                    && Placement.isEligible(step, worker)
                    && !step.policyDecisions.hasValidTicket(worker, nowMs)) {
                int fitting =
                        Placement.countFitting(
                                step, worker, worker.resourcesFreeFor(step), pending);
                if (fitting > 0) {
                    fittingTasks.put(worker, fitting);
                    fittingTasksOfRack.merge(worker.entry.rack(), fitting, Integer::sum);
                    allowed += step.policyDecisions.hasTicket(worker) ? fitting : 0;
                }
            }
        }
        List<Worker> ordered = new ArrayList<>(fittingTasks.keySet());
        if (allowed >= pending) {
            ordered.removeIf(worker -> !step.policyDecisions.hasTicket(worker));
        }
        RackId dataRack = new RackId(step.plan.dataRack().isEmpty() ? "-" : step.plan.dataRack());
        Comparator<Worker> order = Comparator.comparing(w -> !dataRack.equals(w.entry.rack()));
        if (step.plan.rackLocal()) {
            order = order.thenComparing(w -> -fittingTasksOfRack.get(w.entry.rack()));
            order = order.thenComparing(w -> w.entry.rack().value());
        }
        ordered.sort(
                order.thenComparing(w -> !step.policyDecisions.hasTicket(w))
                        .thenComparing(w -> w.id));
        return ordered.stream().limit(MAX_WORKERS_PER_REQUEST).map(w -> w.id).toList();
    }
}
