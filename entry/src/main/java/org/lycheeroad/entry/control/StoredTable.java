package org.lycheeroad.entry.control;

import java.util.List;

/**
 * The table's value in the store.
 *
 * @param attempt the id of the save that wrote it
 * @param earlier the ids of the saves before it, the newest first, by which a save whose answer was
 *     lost is settled after others followed
 */
record StoredTable(long version, String csv, String attempt, List<String> earlier) {
    /** At 1,100 saves a day this covers more than half an hour. */
    private static final int MAX_EARLIER_SAVES = 32;

    StoredTable {
        earlier = earlier == null ? List.of() : List.copyOf(earlier);
    }

    /** Returns the value of a save that follows this one. */
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

    /** Returns whether the save with the id took effect at or before this version. */
    boolean includesSave(String id) {
        return attempt.equals(id) || earlier.contains(id);
    }

    /** Returns whether the saves before this one are all named. */
    boolean listsAllSavesSince(long olderVersion) {
        return version - olderVersion <= earlier.size() + 1;
    }
}
