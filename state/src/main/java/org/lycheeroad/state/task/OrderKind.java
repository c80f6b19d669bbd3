package org.lycheeroad.state.task;

/** The operation that an order requests of a worker. */
public enum OrderKind {
    RESERVE,
    CONFIRM,
    START,
    RENEW,
    CHECKPOINT,
    THROTTLE,
    STOP,
    ACK
}
