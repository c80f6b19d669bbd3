package org.lycheeroad.state.job;

/**
 * The stored record of a gang job.
 *
 * @param fencingToken the fencing token of the placement owner that last wrote the record
 * @param attempt the id of that write
 */
public record JobRecord(
        JobSpec spec, JobState state, String reason, long fencingToken, String attempt) {}
