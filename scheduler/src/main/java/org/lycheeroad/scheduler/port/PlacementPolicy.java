package org.lycheeroad.scheduler.port;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.coordination.jobs.AdviceQuestion;
import org.lycheeroad.state.id.WorkerId;

/** Tells which workers may run a step of a queue that has a placement policy. */
public interface PlacementPolicy {
    /**
     * An answer.
     *
     * @param tickets the tickets of the workers that may run the step
     * @param validMs how long the tickets are valid, in milliseconds
     */
    record Advice(Map<WorkerId, String> tickets, long validMs) {
        public Advice {
            tickets = Map.copyOf(tickets);
        }
    }

    /**
     * Asks about some workers.
     *
     * @param timeoutMs how long to wait for the answer
     * @return the answer, or nothing if there was none; never completes exceptionally
     */
    CompletableFuture<Optional<Advice>> requestAdvice(AdviceQuestion question, long timeoutMs);
}
