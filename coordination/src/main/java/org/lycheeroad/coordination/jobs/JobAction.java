package org.lycheeroad.coordination.jobs;

import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.RunRef;

/** An order to a worker, which the scheduler's caller sends. */
public sealed interface JobAction {
    /** Returns the worker to which the order is sent. */
    WorkerId worker();

    /** Returns the run that the order concerns. */
    RunRef run();

    /**
     * Starts a run. The order is idempotent.
     *
     * @param workerIncarnation the incarnation of the worker that the order is for
     * @param checkpoint the checkpoint to resume from, or an empty string
     * @param ticket the placement policy's ticket, or an empty string
     */
    record Start(
            WorkerId worker,
            long workerIncarnation,
            RunRef run,
            String spec,
            String checkpoint,
            String ticket)
            implements JobAction {}

    /**
     * Stops a run; if it has not started yet, the worker will refuse its start.
     *
     * @param lostCoreMs the work that is thrown away, in core-milliseconds
     */
    record Stop(
            WorkerId worker,
            long workerIncarnation,
            RunRef run,
            StopReason reason,
            double lostCoreMs)
            implements JobAction {}

    /** Sets the speed of a run, in percent of full speed. */
    record Throttle(WorkerId worker, long workerIncarnation, RunRef run, int percent)
            implements JobAction {}
}
