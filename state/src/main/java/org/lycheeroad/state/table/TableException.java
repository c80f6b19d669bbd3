package org.lycheeroad.state.table;

import java.util.List;

/** Thrown when a table is invalid; carries all problems found in it. */
public final class TableException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<TableProblem> mProblems;

    public TableException(List<TableProblem> problems) {
        super(problems.size() + " problem(s) in the table");
        mProblems = List.copyOf(problems);
    }

    /** Returns all problems, ordered by row. */
    public List<TableProblem> problems() {
        return mProblems;
    }
}
