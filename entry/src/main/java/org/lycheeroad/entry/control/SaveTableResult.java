package org.lycheeroad.entry.control;

import java.util.List;
import org.lycheeroad.state.table.TableProblem;

/** The result of saving a table; only {@code INVALID} and {@code CONFLICT} have problems. */
public record SaveTableResult(Status status, long version, List<TableProblem> problems) {
    /** The outcome of the save. */
    public enum Status {
        /** The write is confirmed. */
        ACCEPTED,
        /** The table is invalid; nothing changed. */
        INVALID,
        /** Another save was made first; the problems list the cells that differ. */
        CONFLICT,
        /** The store is unavailable; nothing changed. */
        UNAVAILABLE,
        /** It is unknown whether the write took effect. */
        UNSETTLED
    }
}
