package org.lycheeroad.coordination.jobs;

import java.util.List;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;

/** Asks a placement policy which of the listed workers may run a step. */
public record AdviceRequest(JobId job, int occurrence, int step, List<WorkerId> workers) {
    public AdviceRequest {
        workers = List.copyOf(workers);
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step;
    }
}
