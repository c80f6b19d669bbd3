package org.lycheeroad.state.work;

import java.util.List;

/**
 * The runs of a worker, as reported by the worker.
 *
 * @param clockMs the time on the worker's clock, in milliseconds
 * @param incarnationStartMs the start time of the worker process, in milliseconds since 1970
 * @param activeRuns all runs that have not ended
 * @param endedRuns the ended runs that are not acknowledged, those with the lowest sequence first;
 *     a worker may leave out later ones
 * @param listsAllEndedRuns whether no ended run may be missing, so that a run that is in neither
 *     list does not exist
 */
public record WorkerRuns(
        long clockMs,
        long incarnationStartMs,
        List<ActiveRun> activeRuns,
        List<EndedRun> endedRuns,
        boolean listsAllEndedRuns) {
    /**
     * A run that has not ended.
     *
     * @param checkpoint the latest checkpoint, or an empty string
     * @param percent the completed percentage of the work; 100 for a long-running task that is at
     *     work
     * @param usage the tail latency in milliseconds for tasks that serve users; the CPU usage in
     *     millicores for other tasks
     */
    public record ActiveRun(RunRef run, String checkpoint, int percent, long usage) {}

    /**
     * A run that ended.
     *
     * @param sequence the position among the ended runs of this incarnation, counted from 1
     * @param checkpoint the latest checkpoint, or an empty string
     */
    public record EndedRun(long sequence, RunRef run, RunOutcome outcome, String checkpoint) {}
}
