package org.lycheeroad.protocol.api;

/** Names of HTTP headers that callers, entries and targets exchange. */
public final class RequestHeaders {
    public static final String TEAM = "Lycheeroad-Team";
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    public static final String NOT_REPEATABLE = "Lycheeroad-Not-Repeatable";
    public static final String DEADLINE_MS = "Lycheeroad-Deadline-Ms";
    public static final String OUTCOME = "Lycheeroad-Outcome";
    public static final String REASON = "Lycheeroad-Reason";
    public static final String REQUEST = "Lycheeroad-Request";
    public static final String ATTEMPT = "Lycheeroad-Attempt";
    public static final String NOT_RUN = "Lycheeroad-Not-Run";

    private RequestHeaders() {}
}
