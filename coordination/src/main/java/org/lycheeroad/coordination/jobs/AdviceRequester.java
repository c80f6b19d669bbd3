package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.WorkerId;

/**
 * Asks placement policies about the steps that a round could not place completely.
 *
 * <p>One request at a time is for the step that was asked about longest ago among those that have
 * waited long enough beside idle workers; the others are for the steps of the best rank.
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

    /** A step and the number of its pending tasks without a worker. */
    private record WaitingStep(StepInstance step, int pending) {}

    private final ClusterState mState;

    /** The steps that the current round could not place completely, best rank first. */
    private final List<WaitingStep> mWaitingSteps = new ArrayList<>();

    private List<AdviceRequest> mNewRequests = new ArrayList<>();
    private int mPendingRequests;

    /** The pending request that was issued out of rank, or null. */
    private AdviceRequest mRequestOutOfRank;

    AdviceRequester(ClusterState state) {
        mState = state;
    }

    /** Returns the new requests since the last call. */
    List<AdviceRequest> takeRequests() {
        List<AdviceRequest> requests = mNewRequests;
        mNewRequests = new ArrayList<>();
        return requests;
    }

    /** Begins a round; an error may have ended the one before early. */
    void beginRound() {
        mWaitingSteps.clear();
    }

    /** Adds a step to those that wait for workers in this round; called in the order of rank. */
    void addWaiting(StepInstance step, int pending) {
        if (step.job.queue.advice() != null) {
            mWaitingSteps.add(new WaitingStep(step, pending));
        }
    }

    /** Issues the requests that may be pending beside the earlier ones. */
    void issueRequests(long nowMs) {
        if (mRequestOutOfRank == null) {
            List<WaitingStep> overdue = new ArrayList<>(mWaitingSteps);
            overdue.removeIf(waiting -> !waiting.step.idleWaitIsOver);
            overdue.sort(Comparator.comparingLong(w -> w.step.policyDecisions.lastRequestAtMs));
            for (WaitingStep waiting : overdue) {
                mRequestOutOfRank = request(waiting, nowMs);
                if (mRequestOutOfRank != null) {
                    break;
                }
            }
        }
        for (WaitingStep waiting : mWaitingSteps) {
            request(waiting, nowMs);
        }
    }

    /** Issues a request for a step and returns it, or null if none is possible. */
    private AdviceRequest request(WaitingStep waiting, long nowMs) {
        StepInstance step = waiting.step;
        PolicyDecisions decisions = step.policyDecisions;
        if (decisions.requestPending
                || nowMs < decisions.retryAtMs
                || mPendingRequests >= MAX_PENDING_REQUESTS) {
            return null;
        }
        List<WorkerId> workers = candidateWorkers(step, waiting.pending, nowMs);
        if (workers.isEmpty()) {
            return null;
        }
        decisions.requestPending = true;
        decisions.lastRequestAtMs = nowMs;
        mPendingRequests++;
        AdviceRequest request =
                new AdviceRequest(step.job.id, step.occurrence, step.index, workers);
        mNewRequests.add(request);
        return request;
    }

    /** Applies the answer to a request; {@code tickets} is null if there was none. */
    void onAnswer(AdviceRequest request, Map<WorkerId, String> tickets, long validMs, long nowMs) {
        mPendingRequests--;
        if (request.equals(mRequestOutOfRank)) {
            mRequestOutOfRank = null;
        }
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
