package org.lycheeroad.state.event;

/** The numbered events of the logs and the timeline; docs/events.md describes each of them. */
public enum EventCode {
    ENTRY_STARTED(100, "entry started"),
    ENTRY_READY(101, "entry ready"),
    ENTRY_DRAINING(102, "entry draining"),
    ENTRY_STOPPED(103, "entry stopped"),
    ENTRY_NOT_READY(104, "entry not ready"),
    WORK_SHED(105, "work shed because a ring is full"),
    VM_LIST_UNAVAILABLE(106, "VM list not available"),
    VM_LIST_AVAILABLE(107, "VM list available again"),
    DRAIN_INCOMPLETE(108, "work was in flight at the end of the shutdown time"),
    LINES_LOST(109, "log lines lost because the reader was too slow"),

    STORE_ANSWERS(200, "store answers"),
    STORE_SILENT(201, "store does not answer"),
    MEMBER_HEARD(210, "entry is heard"),
    MEMBER_SILENT(211, "entry is silent"),
    MEMBER_REPLACED(212, "entry was replaced"),
    ROLE_GAINED(220, "role gained"),
    ROLE_LOST(221, "role lost"),
    TABLE_IN_FORCE(230, "table in force"),
    TABLE_SAVED(231, "table saved"),
    TABLE_CONFLICT(232, "table not saved because of another save"),
    TABLE_SAVE_REFUSED(233, "table not saved"),
    CONFIG_IN_FORCE(234, "configuration in force"),
    RECORD_UNREADABLE(235, "record cannot be read"),
    SETTINGS_CHECKED(236, "settings checked again"),
    CONFIG_REVALIDATED(237, "configuration revalidated for API calls"),
    CALL_JUDGED(238, "API call judged during or after a revalidation of the configuration"),
    CLAIM_ABANDONED(240, "claim without an answer given up"),

    JOB_ACCEPTED(300, "job accepted"),
    JOB_NOT_ACCEPTED(301, "job not accepted"),
    JOB_CHANGED(302, "job changed its state"),
    JOB_CANCEL_REQUESTED(303, "cancellation of a job requested"),
    ORDER_SENT(304, "order sent to a worker"),
    ORDER_REFUSED(305, "order refused by a worker"),
    TOKEN_REFUSED(306, "worker obeys a newer placement owner"),
    WORKER_UNREACHABLE(307, "worker did not answer"),
    WORKER_LAPSED(308, "leases of a silent worker have ended"),
    WORKER_HEARD(309, "worker answers again"),
    JOBS_LOADED(310, "jobs loaded from the store"),
    RUN_ENDED(311, "run ended"),
    ADVICE_RECEIVED(312, "placement policy answered"),
    RECORDS_REMOVED(313, "records of ended jobs removed"),
    WORKER_SLOW(314, "worker is slow"),
    WORKER_NOT_SLOW(315, "worker is no longer slow"),
    EVACUATION_BEGUN(316, "evacuation of a failure domain begun"),
    EVACUATION_ENDED(317, "evacuation of a failure domain ended"),
    JOB_GIVES_WAY(318, "job gives way to others for want of room"),
    RUN_DROPPED(319, "run is taken as over without a reported end"),
    STEP_STALLED(320, "step waits beside free workers"),

    ATTEMPT_STARTED(400, "attempt at a target started"),
    ATTEMPT_ENDED(401, "attempt at a target ended"),
    CLAIM_ANSWERED(402, "claim answered"),
    REQUEST_ANSWERED(403, "request answered"),
    CALLER_GONE(404, "caller closed its connection before the answer");

    private final int mNumber;
    private final String mText;

    EventCode(int number, String text) {
        mNumber = number;
        mText = text;
    }

    /** Returns the number of the event, which is stable across versions. */
    public int number() {
        return mNumber;
    }

    /** Returns a short description. */
    public String text() {
        return mText;
    }
}
