package org.lycheeroad.state.work;

/** The outcome of a run that has ended. */
public enum RunOutcome {
    /** The run completed successfully. */
    DONE,
    /** The run failed, because of an error in the task or on the worker. */
    FAILED,
    /** The run was stopped on request. */
    STOPPED,
    /** The lease of the worker expired. */
    LAPSED,
    /** Another member of the gang ended before the gang was done. */
    BROKEN,
    /** The other members of the gang did not start in time. */
    ALONE
}
