package org.lycheeroad.state.work;

import org.lycheeroad.state.id.TeamId;

/**
 * An accepted job as the store keeps it.
 *
 * @param acceptedAtMs when the job was accepted by the accepting VM's clock, in milliseconds since
 *     1970
 */
public record JobRecord(QueueName queue, TeamId team, JobPlan plan, long acceptedAtMs) {}
