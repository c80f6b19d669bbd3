package org.lycheeroad.state.table;

import java.util.List;

/** A version of the operators' table. */
public record OperatorTable(long version, List<TableRow> rows) {}
