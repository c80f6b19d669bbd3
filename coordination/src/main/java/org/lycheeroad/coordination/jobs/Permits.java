package org.lycheeroad.coordination.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.WorkerId;

/** What a placement policy has answered about one step. */
final class Permits {
    /** Covers the answer's way and the time until a run's record is saved and its start arrives. */
    private static final long MARGIN_MS = 600;

    /** A ticket for one incarnation of a worker. */
    private record Permit(String ticket, long bornMs, long validUntil) {}

    private final Map<WorkerId, Permit> mAllowed = new HashMap<>();
    private final Set<WorkerId> mRefused = new HashSet<>();

    /** Whether a question about the step is under way. */
    public boolean asking;

    /** When the step may be asked about again after a question without an answer. */
    public long askAgainAt;

    /** Applies an answer; workers that were asked about and have no ticket are refused for good. */
    void onAnswer(List<Worker> asked, Map<WorkerId, String> tickets, long validMs, long now) {
        for (Worker worker : asked) {
            String ticket = tickets.get(worker.id);
            if (ticket == null) {
                mRefused.add(worker.id);
            } else {
                mAllowed.put(
                        worker.id,
                        new Permit(ticket, worker.incarnation, now + validMs - MARGIN_MS));
            }
        }
    }

    /** Drops a ticket that a worker did not take. */
    void drop(WorkerId worker) {
        mAllowed.remove(worker);
    }

    boolean isRefused(Worker worker) {
        return mRefused.contains(worker.id);
    }

    /** Returns whether the policy has allowed the worker, even if the ticket is no longer valid. */
    boolean isAllowed(Worker worker) {
        return mAllowed.containsKey(worker.id);
    }

    boolean isValid(Worker worker, long now) {
        Permit permit = mAllowed.get(worker.id);
        return permit != null && permit.bornMs == worker.incarnation && now < permit.validUntil;
    }

    /** Returns the ticket for a worker, or an empty string. */
    String ticketFor(Worker worker) {
        Permit permit = mAllowed.get(worker.id);
        return permit == null ? "" : permit.ticket;
    }
}
