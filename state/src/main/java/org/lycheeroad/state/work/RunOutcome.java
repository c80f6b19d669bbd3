package org.lycheeroad.state.work;

/** How a run ended. */
public enum RunOutcome {
    DONE,
    /** The run failed by its own fault or the worker's. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The worker's lease ran out. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The gang's other members did not come in time. */
    ALONE
}
