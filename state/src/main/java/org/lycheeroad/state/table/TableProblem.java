package org.lycheeroad.state.table;

/**
 * A problem in a table.
 *
 * @param row the row, counted from 1 without the header; 0 for the header or the table as a whole
 * @param column the column, or empty if the problem does not concern a single column
 */
public record TableProblem(int row, String column, String reason) {}
