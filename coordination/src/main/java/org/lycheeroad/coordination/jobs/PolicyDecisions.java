package org.lycheeroad.coordination.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.WorkerId;

/** What a placement policy has answered about one step. */
final class PolicyDecisions {
    /** Covers the answer's way and the time until a run's record is saved and its start arrives. */
    private static final long VALIDITY_MARGIN_MS = 600;

    /** A ticket for one incarnation of a worker. */
    private record Ticket(String value, long workerIncarnation, long validUntilMs) {}

    private final Map<WorkerId, Ticket> mTickets = new HashMap<>();
    private final Set<WorkerId> mRefusedWorkers = new HashSet<>();

    /** Whether a question about the step is under way. */
    public boolean requestPending;

    /** When the step may be asked about again after a question without an answer. */
    public long retryAtMs;

    /** Applies an answer; workers that were asked about and have no ticket are refused for good. */
    void onAnswer(List<Worker> asked, Map<WorkerId, String> tickets, long validMs, long nowMs) {
        for (Worker worker : asked) {
            String ticket = tickets.get(worker.id);
            if (ticket == null) {
                mRefusedWorkers.add(worker.id);
            } else {
                mTickets.put(
                        worker.id,
                        new Ticket(ticket, worker.incarnation, nowMs + validMs - VALIDITY_MARGIN_MS));
            }
        }
    }

    /** Drops a ticket that a worker did not take. */
    void dropTicket(WorkerId worker) {
        mTickets.remove(worker);
    }

    boolean isRefused(Worker worker) {
        return mRefusedWorkers.contains(worker.id);
    }

    /** Returns whether the policy has allowed the worker, even if the ticket is no longer valid. */
    boolean hasTicket(Worker worker) {
        return mTickets.containsKey(worker.id);
    }

    boolean hasValidTicket(Worker worker, long nowMs) {
        Ticket permit = mTickets.get(worker.id);
        return permit != null
                && permit.workerIncarnation == worker.incarnation
                && nowMs < permit.validUntilMs;
    }

    /** Returns the ticket for a worker, or an empty string. */
    String ticketFor(Worker worker) {
        Ticket permit = mTickets.get(worker.id);
        return permit == null ? "" : permit.value;
    }
}
