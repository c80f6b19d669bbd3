package org.lycheeroad.scheduler.port;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.coordination.jobs.AdviceRequest;
import org.lycheeroad.state.id.WorkerId;

/** Decides which workers may run a step of a job whose queue has a placement policy. */
public interface PlacementPolicy {
    /**
     * The decision of a placement policy.
     *
     * @param tickets the ticket of each worker that may run the step
     * @param validMs how long the tickets are valid, in milliseconds
     */
    record Advice(Map<WorkerId, String> tickets, long validMs) {
        public Advice {
            tickets = Map.copyOf(tickets);
        }
    }

    /**
     * Asks the policy which of some workers may run a step.
     *
     * @param timeoutMs how long to wait for the response
     * @return the decision, or empty if the policy did not respond; never completes exceptionally
     */
    CompletableFuture<Optional<Advice>> requestAdvice(AdviceRequest question, long timeoutMs);
}
