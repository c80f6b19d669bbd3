package org.lycheeroad.entry.control;

import java.util.List;
import org.lycheeroad.state.table.TableProblem;

/** The result of saving a table; the problems belong to {@code INVALID} and {@code CONFLICT}. */
public record SaveTableResult(Status status, long version, List<TableProblem> problems) {
    /** How the save ended. */
    public enum Status {
        /** The write is confirmed. */
        ACCEPTED,
        /** The table has mistakes; nothing changed. */
        INVALID,
        /** Another save came first; the problems name the cells that differ. */
        CONFLICT,
        /** The store is not available; nothing changed. */
        UNAVAILABLE,
        /** The store did not say whether the write took effect. */
        UNSETTLED
    }
}
