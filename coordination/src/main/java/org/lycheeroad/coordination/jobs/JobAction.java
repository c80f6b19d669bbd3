package org.lycheeroad.coordination.jobs;

import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.RunRef;

/** An order that the scheduler wants sent. */
public sealed interface JobAction {
    /** Returns the worker that receives the order. */
    WorkerId worker();

    /** Returns the run that the order is about. */
    RunRef run();

    /**
     * Starts a run; sending it again has no further effect.
     *
     * @param bornMs the worker's incarnation
     * @param checkpoint the progress to resume from, or an empty string
     * @param ticket the placement policy's permission, or an empty string
     */
    record Start(
            WorkerId worker,
            long workerIncarnation,
            RunRef run,
            String spec,
            String checkpoint,
            String ticket)
            implements JobAction {}

    /** Stops a run, or bars it from starting if it is not there yet. */
    record Stop(WorkerId worker, long workerIncarnation, RunRef run, StopReason reason)
            implements JobAction {}

    /** Sets the share of its speed at which a run works. */
    record Throttle(WorkerId worker, long workerIncarnation, RunRef run, int percent)
            implements JobAction {}
}
