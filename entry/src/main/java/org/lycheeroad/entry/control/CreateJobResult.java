package org.lycheeroad.entry.control;

import org.lycheeroad.state.job.JobRecord;

/** The result of creating a job. */
public record CreateJobResult(Status status, JobRecord record) {
    /** How the write ended. */
    public enum Status {
        /** The job is stored. */
        CREATED,
        /** A job with this id was stored before; the record is that job's. */
        EXISTS,
        /** The job is not stored. */
        NOT_STORED,
        /** The store did not say whether the job is stored. */
        UNSETTLED
    }
}
