package org.lycheeroad.state.task;

import java.util.List;
import org.lycheeroad.state.id.WorkerId;

/**
 * A snapshot of all tasks of one worker.
 *
 * @param incarnation identifies the start of the worker process
 * @param sequence the version of the report within the incarnation
 * @param token the highest fencing token of a placement owner that the worker has accepted
 */
public record WorkerReport(
        WorkerId worker, long incarnation, long sequence, long token, List<TaskReport> tasks) {}
