package org.lycheeroad.state.work;

import org.lycheeroad.state.id.TeamId;

/**
 * The stored record of an accepted job.
 *
 * @param acceptedAtMs when the job was accepted, in milliseconds since 1970 on the clock of the VM
 *     that accepted it
 */
public record JobRecord(QueueName queue, TeamId team, JobPlan plan, long acceptedAtMs) {}
