package org.lycheeroad.state.work;

import org.lycheeroad.state.id.JobId;

/**
 * Identifies a task of a job.
 *
 * @param occurrence the index of the occurrence, counted from 0
 * @param step the index of the step, counted from 0
 * @param index the index of the task in its step, counted from 0
 */
public record TaskRef(JobId job, int occurrence, int step, int index) {
    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
