package org.lycheeroad.coordination.admission;

import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.QueueConfig;

/**
 * A job that a caller submits.
 *
 * @param guaranteedAccelerators the accelerators that are guaranteed to the team's urgent jobs
 * @param timeoutMs how long the caller waits to have the job accepted, in milliseconds
 */
public record AdmissionRequest(
        JobId id,
        TeamId team,
        int guaranteedAccelerators,
        QueueConfig queue,
        JobPlan plan,
        long timeoutMs) {}
