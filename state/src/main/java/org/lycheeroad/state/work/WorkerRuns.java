package org.lycheeroad.state.work;

import java.util.List;

/**
 * The runs of a worker, as reported by the worker.
 *
 * @param clockMs the time on the worker's clock, in milliseconds
 * @param incarnationStartMs the start time of the worker process, in milliseconds since 1970
 */
public record WorkerRuns(
        long clockMs,
        long incarnationStartMs,
        List<ActiveRun> activeRuns,
        List<EndedRun> endedRuns) {
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
