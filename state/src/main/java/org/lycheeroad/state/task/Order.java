package org.lycheeroad.state.task;

import java.util.List;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobSpec;

/**
 * An order of the placement owner to a worker, for one task.
 *
 * @param member the index of the task in its gang
 * @param leaseMs the duration of the lease in milliseconds
 */
public record Order(
        OrderKind kind,
        JobId job,
        int member,
        int attempt,
        List<Integer> accelerators,
        JobSpec spec,
        long leaseMs) {}
