package org.lycheeroad.coordination.admission;

/**
 * The decision about a new job.
 *
 * @param aheadMs the least time that the work ahead of the job takes, in milliseconds
 * @param latestStartMs the time until the last start with which the job is useful, in milliseconds
 * @param retryAfterSeconds the time after which the caller should submit the job again; 0 if it is
 *     accepted
 */
public record Admission(Reason reason, long aheadMs, long latestStartMs, int retryAfterSeconds) {
    /** Why a job is accepted or refused. */
    public enum Reason {
        /** Accepted: the load counts only against jobs that run once and whose length is known. */
        EXEMPT,
        /** Accepted: the summary of the load is too old. */
        LOAD_UNKNOWN,
        /** Accepted: it is urgent and within its team's guarantee. */
        WITHIN_GUARANTEE,
        /** Accepted: a worker has room for one of its tasks. */
        FREE_ROOM,
        /** Accepted: its team uses less than an equal part of the room. */
        UNDER_FAIR_SHARE,
        /** Accepted: it may end while its result is useful. */
        MAY_END_USEFULLY,
        /** Refused: the work ahead of it takes until its result would be of no use. */
        NO_ROOM_IN_TIME
    }

    /** Returns whether the job is refused. */
    public boolean isRefused() {
        return reason == Reason.NO_ROOM_IN_TIME;
    }

    static Admission accepted(Reason reason) {
        return new Admission(reason, 0, 0, 0);
    }
}
