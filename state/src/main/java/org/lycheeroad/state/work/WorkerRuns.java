package org.lycheeroad.state.work;

import java.util.List;

/**
 * A worker's list of its runs.
 *
 * @param clockMs the worker's own clock in milliseconds
 * @param bornMs when the worker's incarnation started, in milliseconds since 1970
 */
public record WorkerRuns(
        long clockMs,
        long incarnationStartMs,
        List<ActiveRun> activeRuns,
        List<EndedRun> endedRuns) {
    /**
     * A run that is present.
     *
     * @param checkpoint the newest saved progress, or an empty string
     * @param percent the share of its work that is done; for long-running tasks 100 means at work
     * @param usage the tail of response times in milliseconds for tasks that serve, the processor
     *     time in thousandths of a core for others
     */
    public record ActiveRun(RunRef run, String checkpoint, int percent, long usage) {}

    /**
     * A run that ended.
     *
     * @param number the end's number in the worker's incarnation, counted from 1
     * @param checkpoint the newest saved progress, or an empty string
     */
    public record EndedRun(long sequence, RunRef run, RunOutcome outcome, String checkpoint) {}
}
