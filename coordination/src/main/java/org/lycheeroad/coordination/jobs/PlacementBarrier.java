package org.lycheeroad.coordination.jobs;

import org.lycheeroad.state.work.Resources;

/** The first reason for which a worker of a step's service takes no task of the step. */
public enum PlacementBarrier {
    /** The worker drains, has left the directory, or is in an evacuated failure domain. */
    OUT_OF_SERVICE,
    /** The worker lacks the label that the step requires. */
    WRONG_LABEL,
    /** The free resources do not suffice for a task, or the step has enough tasks there. */
    NO_ROOM,
    /** This incarnation of the worker has not sent this owner a report. */
    NOT_ANSWERED,
    /** The worker did not answer the last poll. */
    UNRESPONSIVE,
    /** The worker reports runs that are not recorded and are being stopped. */
    UNRECORDED_RUNS,
    /** Calls to an earlier incarnation of the worker may still arrive. */
    EARLIER_CALLS,
    /** Runs failed on the worker or it refused starts. */
    QUARANTINED,
    /** The queue's placement policy does not allow the worker. */
    POLICY_REFUSED,
    /** The step has no valid ticket of the queue's placement policy for the worker. */
    NO_TICKET,
    /** The room is reserved for other steps. */
    RESERVED,
    /** The worker is not on the rack of the data. */
    OTHER_RACK,
    /**
     * Nothing keeps a single task off the worker; the tasks together do not fit as they have to.
     */
    SPLIT;

    static PlacementBarrier of(StepInstance step, Worker worker, long nowMs) {
        String label = step.plan.requiredLabel();
        String dataRack = step.plan.dataRack();
        if (!worker.isInService()) {
            return OUT_OF_SERVICE;
        } else if (!label.isEmpty() && !worker.entry.labels().contains(label)) {
            return WRONG_LABEL;
        } else if (!fits(step, worker, worker.freeResources())) {
            return NO_ROOM;
        } else if (!worker.hasAnswered) {
            return NOT_ANSWERED;
        } else if (worker.unresponsive) {
            return UNRESPONSIVE;
        } else if (!worker.unrecordedRuns.isEmpty()) {
            return UNRECORDED_RUNS;
        } else if (nowMs < worker.earlierCallsUntilMs) {
            return EARLIER_CALLS;
        } else if (!worker.isSchedulable(nowMs)) {
            return QUARANTINED;
        } else if (step.policyDecisions.isRefused(worker)) {
            return POLICY_REFUSED;
        } else if (!step.isAllowedByPolicy(worker, nowMs)) {
            return NO_TICKET;
        } else if (!fits(step, worker, worker.resourcesFreeFor(step))) {
            return RESERVED;
        } else if (!dataRack.isEmpty() && !dataRack.equals(worker.entry.rack().value())) {
            return OTHER_RACK;
        }
        return SPLIT;
    }

    private static boolean fits(StepInstance step, Worker worker, Resources available) {
        return Placement.countFitting(step, worker, available, 1) > 0;
    }
}
