package org.lycheeroad.entry.control;

import java.util.List;

/**
 * The value of the table's key in the store.
 *
 * @param attempt the id of the save that wrote this value
 * @param earlier the ids of the previous saves, newest first; they show whether a save whose
 *     response was lost took effect, even after later saves
 */
record StoredTable(long version, String csv, String attempt, List<String> earlier) {
    /** Covers more than half an hour at 1,100 saves a day. */
    private static final int MAX_EARLIER_SAVES = 32;

    StoredTable {
        earlier = earlier == null ? List.of() : List.copyOf(earlier);
    }

    /** Returns the value that the next save writes. */
    StoredTable successor(long newVersion, String newCsv, String newAttempt) {
        List<String> ids = new java.util.ArrayList<>();
        if (!attempt.isEmpty()) {
            ids.add(attempt);
        }
        ids.addAll(earlier);
        return new StoredTable(
                newVersion,
                newCsv,
                newAttempt,
                ids.subList(0, Math.min(MAX_EARLIER_SAVES, ids.size())));
    }

    /** Returns whether the save with an id took effect at or before this version. */
    boolean includesSave(String id) {
        return attempt.equals(id) || earlier.contains(id);
    }

    /** Returns whether the ids of all saves after an older version are known. */
    boolean listsAllSavesSince(long olderVersion) {
        return version - olderVersion <= earlier.size() + 1;
    }
}
