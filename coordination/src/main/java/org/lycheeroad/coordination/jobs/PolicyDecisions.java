package org.lycheeroad.coordination.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.WorkerId;

/** The decisions of a placement policy about the workers for a step. */
final class PolicyDecisions {
    /**
     * Subtracted from a ticket's validity: the time for the answer to arrive, the run's record to
     * be saved and the start order to reach the worker.
     */
    private static final long VALIDITY_MARGIN_MS = 600;

    /** A ticket, valid for one incarnation of a worker. */
    private record Ticket(String value, long workerIncarnation, long validUntilMs) {}

    private final Map<WorkerId, Ticket> mTickets = new HashMap<>();
    private final Set<WorkerId> mRefusedWorkers = new HashSet<>();

    /** Whether a request for the step has not been answered yet. */
    public boolean requestPending;

    /** When the last request for the step was issued. */
    public long lastRequestAtMs = Long.MIN_VALUE;

    /** The earliest time of the next request after one that was not answered. */
    public long retryAtMs;

    /** Applies an answer; requested workers without a ticket are refused permanently. */
    void onAnswer(List<Worker> requested, Map<WorkerId, String> tickets, long validMs, long nowMs) {
        for (Worker worker : requested) {
            String ticket = tickets.get(worker.id);
            if (ticket == null) {
                mRefusedWorkers.add(worker.id);
            } else {
                mTickets.put(
                        worker.id,
                        new Ticket(
                                ticket, worker.incarnation, nowMs + validMs - VALIDITY_MARGIN_MS));
            }
        }
    }

    /** Drops a ticket that a worker has rejected. */
    void dropTicket(WorkerId worker) {
        mTickets.remove(worker);
    }

    boolean isRefused(Worker worker) {
        return mRefusedWorkers.contains(worker.id);
    }

    /** Returns whether the policy has issued a ticket for the worker, even if it has expired. */
    boolean hasTicket(Worker worker) {
        return mTickets.containsKey(worker.id);
    }

    boolean hasValidTicket(Worker worker, long nowMs) {
        Ticket ticket = mTickets.get(worker.id);
        return ticket != null
                && ticket.workerIncarnation == worker.incarnation
                && nowMs < ticket.validUntilMs;
    }

    /** Returns the ticket for a worker, or an empty string. */
    String ticketFor(Worker worker) {
        Ticket ticket = mTickets.get(worker.id);
        return ticket == null ? "" : ticket.value;
    }
}
