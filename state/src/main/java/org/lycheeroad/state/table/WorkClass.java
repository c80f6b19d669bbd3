package org.lycheeroad.state.table;

/** The class of work to which a table row applies. */
public enum WorkClass {

    /** Requests that are forwarded to targets. */
    REQUEST,
    /** Gang jobs that run on workers. */
    GANG
}
