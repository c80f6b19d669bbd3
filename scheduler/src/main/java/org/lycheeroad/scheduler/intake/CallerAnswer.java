package org.lycheeroad.scheduler.intake;

import org.lycheeroad.state.work.WorkState;

/** The answer to a caller. */
public sealed interface CallerAnswer {
    /** The job is stored and will run. */
    record Accepted() implements CallerAnswer {}

    /** The job's cancellation is stored. */
    record Cancelled() implements CallerAnswer {}

    /** The state of a job. */
    record State(WorkState state) implements CallerAnswer {}

    /** The number of a queue's jobs that have not begun. */
    record Pending(int jobs) implements CallerAnswer {}

    /** No queue has this host and path. */
    record NoQueue() implements CallerAnswer {}

    /** No such job exists. */
    record NoJob() implements CallerAnswer {}

    /** The key belongs to no team. */
    record BadKey() implements CallerAnswer {}

    /** The request cannot be read. */
    record Malformed(String reason) implements CallerAnswer {}

    /** Nothing was done; the caller may come back. */
    record Unavailable(int retryAfterSeconds) implements CallerAnswer {}

    /** Whether the request was carried out is not known. */
    record Unknown() implements CallerAnswer {}
}
