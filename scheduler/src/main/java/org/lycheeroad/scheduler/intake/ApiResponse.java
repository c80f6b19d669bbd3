package org.lycheeroad.scheduler.intake;

import org.lycheeroad.state.work.WorkState;

/** The answer to a caller. */
public sealed interface ApiResponse {
    /** The job is stored and will run. */
    record Accepted() implements ApiResponse {}

    /** The job's cancellation is stored. */
    record Cancelled() implements ApiResponse {}

    /** The state of a job. */
    record JobState(WorkState state) implements ApiResponse {}

    /** The number of a queue's jobs that have not begun. */
    record PendingCount(int jobs) implements ApiResponse {}

    /** No queue has this host and path. */
    record QueueNotFound() implements ApiResponse {}

    /** No such job exists. */
    record JobNotFound() implements ApiResponse {}

    /** The key belongs to no team. */
    record InvalidApiKey() implements ApiResponse {}

    /** The request cannot be read. */
    record Malformed(String reason) implements ApiResponse {}

    /** Nothing was done; the caller may come back. */
    record Unavailable(int retryAfterSeconds) implements ApiResponse {}

    /** Whether the request was carried out is not known. */
    record OutcomeUnknown() implements ApiResponse {}
}
