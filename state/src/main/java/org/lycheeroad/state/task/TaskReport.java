package org.lycheeroad.state.task;

import java.util.List;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobSpec;

/**
 * The state of one task, as reported by its worker.
 *
 * @param member the index of the task in its gang
 * @param ranMs the time that the task has run, in milliseconds
 */
public record TaskReport(
        JobId job,
        int member,
        int attempt,
        TaskState state,
        List<Integer> accelerators,
        JobSpec spec,
        long ranMs) {}
