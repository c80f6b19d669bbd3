package org.lycheeroad.state.work;

import org.lycheeroad.state.id.JobId;

/**
 * Names one task.
 *
 * @param occurrence the number of the occurrence, counted from 0
 * @param step the number of the step, counted from 0
 * @param index the number of the task in its step, counted from 0
 */
public record TaskRef(JobId job, int occurrence, int step, int index) {
    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
