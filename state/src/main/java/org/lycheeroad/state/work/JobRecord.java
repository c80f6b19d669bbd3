package org.lycheeroad.state.work;

import org.lycheeroad.state.id.TeamId;

/**
 * The stored record of an accepted job.
 *
 * @param acceptedAtMs when the job was accepted, in milliseconds since 1970 on the clock of the VM
 *     that accepted it
 * @param settings the settings of the queue when the job was accepted, which apply if the
 *     configuration no longer has the queue; null in records of versions that did not store them
 */
public record JobRecord(
        QueueName queue, TeamId team, JobPlan plan, long acceptedAtMs, QueueSettings settings) {
    /** Creates a record without settings; its queue must remain in the configuration. */
    public JobRecord(QueueName queue, TeamId team, JobPlan plan, long acceptedAtMs) {
        this(queue, team, plan, acceptedAtMs, null);
    }
}
