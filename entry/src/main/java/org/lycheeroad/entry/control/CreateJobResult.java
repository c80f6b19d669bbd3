package org.lycheeroad.entry.control;

import org.lycheeroad.state.job.JobRecord;

/** The result of creating a job. */
public record CreateJobResult(Status status, JobRecord record) {
    /** The outcome of the write. */
    public enum Status {
        /** The job is stored. */
        CREATED,
        /** A job with this id already exists; the record is the existing one. */
        EXISTS,
        /** The job is not stored. */
        NOT_STORED,
        /** The store did not respond, so it is unknown whether the job is stored. */
        UNSETTLED
    }
}
