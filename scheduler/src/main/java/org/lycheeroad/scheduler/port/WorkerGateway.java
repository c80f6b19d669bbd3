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
 * <p>Calls never complete exceptionally; a call without a response yields {@link
 * OrderAnswer#UNKNOWN}.
 */
public interface WorkerGateway {
    /** The address of a worker, and the epoch of the calling owner as the fencing token. */
    record WorkerEndpoint(WorkerId workerId, HostPort address, long epoch) {}

    /** The reply to a poll; {@code runs} is null unless the poll was accepted. */
    record PollReply(OrderAnswer answer, WorkerRuns runs) {}

    /**
     * Starts a run.
     *
     * @param leaseUntilMs when the worker must stop all its runs unless the lease is extended, on
     *     the worker's clock
     */
    CompletableFuture<OrderAnswer> start(
            WorkerEndpoint endpoint,
            RunRef run,
            String spec,
            String checkpoint,
            String ticket,
            long leaseUntilMs);

    /** Stops a run; a start order for it that arrives later is rejected. */
    CompletableFuture<OrderAnswer> stop(WorkerEndpoint endpoint, RunRef run);

    /** Limits a run to a percentage of its full speed. */
    CompletableFuture<OrderAnswer> throttle(WorkerEndpoint endpoint, RunRef run, int percent);

    /**
     * Lists the worker's running and ended runs, and extends its lease.
     *
     * @param acknowledgedEnd the worker may forget ended runs up to this number
     * @param leaseUntilMs when the worker must stop all its runs, on the worker's clock; 0 to leave
     *     the lease unchanged
     * @param waitMs how long the worker may wait for a run to end before it replies
     */
    CompletableFuture<PollReply> poll(
            WorkerEndpoint endpoint, long acknowledgedEnd, long leaseUntilMs, long waitMs);
}
