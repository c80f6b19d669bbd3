package org.lycheeroad.state.task;

/** The state of a task on its worker. */
public enum TaskState {
    RESERVED,
    CONFIRMED,
    RUNNING,
    DONE,
    FAILED,
    STOPPED,
    LAPSED;

    /** Returns whether accelerators are allocated to the task in this state. */
    public boolean holdsAccelerators() {
        return switch (this) {
            case RESERVED, CONFIRMED, RUNNING -> true;
            case DONE, FAILED, STOPPED, LAPSED -> false;
        };
    }
}
