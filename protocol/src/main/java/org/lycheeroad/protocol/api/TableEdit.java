package org.lycheeroad.protocol.api;

import java.util.List;

/**
 * An operator's edit of the table; both versions are rows of text cells.
 *
 * @param base the table before the edit, for a three-way merge with the current table
 * @param yours the table after the edit
 */
public record TableEdit(List<List<String>> base, List<List<String>> yours) {}
