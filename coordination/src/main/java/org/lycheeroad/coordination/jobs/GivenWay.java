package org.lycheeroad.coordination.jobs;

import org.lycheeroad.coordination.overload.Verdict;
import org.lycheeroad.state.id.JobId;

/**
 * A waiting step that gives way to work that is worth more for the room that it needs.
 *
 * @param latestEndInMs the time left until the step had to end to be in time; may be negative
 * @param lastUsefulEndInMs the time left until its end would be of no use; may be negative
 */
public record GivenWay(
        JobId job,
        int occurrence,
        int step,
        int priority,
        Verdict verdict,
        long latestEndInMs,
        long lastUsefulEndInMs) {}
