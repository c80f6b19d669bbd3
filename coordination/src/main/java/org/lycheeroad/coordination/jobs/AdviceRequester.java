package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.WorkerId;

/**
 * Asks placement policies about steps that wait, best rank first.
 *
 * <p>A policy answers one question of a VM at a time and takes time for each worker named, so few
 * questions are under way and each names only workers that have room now.
 */
final class AdviceRequester {
    /** The policy works on one; the next waits there, so that no round trip is lost. */
    private static final int MAX_PENDING_REQUESTS = 2;

    /** How many workers one question names at most; the users' objectives allow for 30. */
    private static final int MAX_WORKERS_PER_REQUEST = 30;

    /** How long a step waits after a question that was refused or not answered. */
    private static final long RETRY_MS = 300;

    private final ClusterState mState;
    private List<AdviceRequest> mNewRequests = new ArrayList<>();
    private int mPendingRequests;

    AdviceRequester(ClusterState cluster) {
        mState = cluster;
    }

    /** Returns the questions since the last call. */
    List<AdviceRequest> takeRequests() {
        List<AdviceRequest> questions = mNewRequests;
        mNewRequests = new ArrayList<>();
        return questions;
    }

    /** Asks about the workers that some waiting tasks of a step could use. */
    void request(StepInstance step, int waiting, long nowMs) {
        if (step.job.queue.advice() == null
                || step.policyDecisions.requestPending
                || nowMs < step.policyDecisions.retryAtMs
                || mPendingRequests >= MAX_PENDING_REQUESTS) {
            return;
        }
        List<WorkerId> workers = candidateWorkers(step, waiting, nowMs);
        if (!workers.isEmpty()) {
            step.policyDecisions.requestPending = true;
            mPendingRequests++;
            mNewRequests.add(new AdviceRequest(step.job.id, step.occurrence, step.index, workers));
        }
    }

    /** Applies an answer; {@code tickets} is null if there was none. */
    void onAnswer(AdviceRequest question, Map<WorkerId, String> tickets, long validMs, long nowMs) {
        mPendingRequests--;
        Job job = mState.activeJobs.get(question.job());
        if (job == null || !job.occurrences.containsKey(question.occurrence())) {
            return;
        }
        PolicyDecisions permits =
                job.occurrences.get(question.occurrence()).get(question.step()).policyDecisions;
        permits.requestPending = false;
        if (tickets == null) {
            permits.retryAtMs = nowMs + RETRY_MS;
            return;
        }
        List<Worker> asked = new ArrayList<>();
        for (WorkerId id : question.workers()) {
            Worker worker = mState.workers.get(id);
            if (worker != null) {
                asked.add(worker);
            }
        }
        permits.onAnswer(asked, tickets, validMs, nowMs);
    }

    /** Returns workers with room: known ones while they suffice, then whole racks of others. */
    private List<WorkerId> candidateWorkers(StepInstance step, int waiting, long nowMs) {
        Map<Worker, Integer> room = new HashMap<>();
        Map<RackId, Integer> racks = new HashMap<>();
        int known = 0;
        for (Worker worker : mState.workers.values()) {
            if (worker.isSchedulable(nowMs)
                    && Placement.isEligible(step, worker)
                    && !step.policyDecisions.hasValidTicket(worker, nowMs)) {
                int fits =
                        Placement.countFitting(
                                step, worker, worker.resourcesFreeFor(step), waiting);
                if (fits > 0) {
                    room.put(worker, fits);
                    racks.merge(worker.entry.rack(), fits, Integer::sum);
                    known += step.policyDecisions.hasTicket(worker) ? fits : 0;
                }
            }
        }
        List<Worker> ordered = new ArrayList<>(room.keySet());
        if (known >= waiting) {
            ordered.removeIf(worker -> !step.policyDecisions.hasTicket(worker));
        }
        RackId near = new RackId(step.plan.dataRack().isEmpty() ? "-" : step.plan.dataRack());
        Comparator<Worker> order = Comparator.comparing(w -> !near.equals(w.entry.rack()));
        if (step.plan.rackLocal()) {
            order = order.thenComparing(w -> -racks.get(w.entry.rack()));
            order = order.thenComparing(w -> w.entry.rack().value());
        }
        ordered.sort(
                order.thenComparing(w -> !step.policyDecisions.hasTicket(w))
                        .thenComparing(w -> w.id));
        return ordered.stream().limit(MAX_WORKERS_PER_REQUEST).map(w -> w.id).toList();
    }
}
