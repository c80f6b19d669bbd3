package org.lycheeroad.protocol.worker;

import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.task.OrderKind;

/** The result of one order; {@code member} is the number of the task in its gang. */
public record OrderResult(
        JobId job, int member, int attempt, OrderKind kind, boolean accepted, String reason) {}
