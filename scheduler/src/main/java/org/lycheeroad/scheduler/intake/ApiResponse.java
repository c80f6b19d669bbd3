package org.lycheeroad.scheduler.intake;

import org.lycheeroad.state.work.WorkState;

/** A response to an API request. */
public sealed interface ApiResponse {
    /** The job was stored and will run. */
    record Accepted() implements ApiResponse {}

    /** The job's cancellation was stored. */
    record Cancelled() implements ApiResponse {}

    /** The state of a job. */
    record JobState(WorkState state) implements ApiResponse {}

    /** The number of a queue's jobs that have not started. */
    record PendingCount(int jobs) implements ApiResponse {}

    /** No queue matches the host and path. */
    record QueueNotFound() implements ApiResponse {}

    /** The job does not exist. */
    record JobNotFound() implements ApiResponse {}

    /** The API key does not belong to any team. */
    record InvalidApiKey() implements ApiResponse {}

    /** The request is malformed. */
    record Malformed(String reason) implements ApiResponse {}

    /** The request was not carried out; the caller may retry. */
    record Unavailable(int retryAfterSeconds) implements ApiResponse {}

    /** The job was not accepted, as it could not end in time; the caller may retry. */
    record Overloaded(int retryAfterSeconds) implements ApiResponse {}

    /** It is unknown whether the request was carried out. */
    record OutcomeUnknown() implements ApiResponse {}
}
