package org.lycheeroad.scheduler.port;

import java.util.concurrent.CompletableFuture;
import org.lycheeroad.coordination.jobs.OrderAnswer;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkerRuns;

/**
 * Sends orders to workers.
 *
 * <p>Calls never complete exceptionally; a call without an answer has {@link OrderAnswer#UNKNOWN}.
 */
public interface WorkerGateway {
    /** Where a worker is and which owner calls it. */
    record WorkerEndpoint(WorkerId workerId, HostPort address, long epoch) {}

    /** An answer to a look; {@code runs} is null unless the look was accepted. */
    record PollReply(OrderAnswer answer, WorkerRuns runs) {}

    /**
     * Starts a run.
     *
     * @param leaseUntilMs when everything on the worker ends, on the worker's clock
     */
    CompletableFuture<OrderAnswer> start(
            WorkerEndpoint to,
            RunRef run,
            String spec,
            String checkpoint,
            String ticket,
            long leaseUntilMs);

    /** Stops a run and bars it from starting later. */
    CompletableFuture<OrderAnswer> stop(WorkerEndpoint to, RunRef run);

    /** Sets the share of its speed at which a run works. */
    CompletableFuture<OrderAnswer> throttle(WorkerEndpoint to, RunRef run, int percent);

    /**
     * Lists runs and ends, and extends the lease.
     *
     * @param observed ends up to this number may be forgotten
     * @param leaseUntilMs when everything on the worker ends, on the worker's clock; 0 to leave it
     * @param waitMs how long the worker waits for an end
     */
    CompletableFuture<PollReply> poll(
            WorkerEndpoint to, long observed, long leaseUntilMs, long waitMs);
}
