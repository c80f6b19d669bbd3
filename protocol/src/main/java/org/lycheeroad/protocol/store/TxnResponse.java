package org.lycheeroad.protocol.store;

import java.util.List;

/**
 * The result of a transaction.
 *
 * @param succeeded whether all conditions held
 * @param readResults one list for each executed operation, empty for writes
 */
public record TxnResponse(boolean succeeded, long revision, List<List<KeyValue>> readResults) {
    /** Returns the first key that the operation at the index read, or null if there is none. */
    public KeyValue firstKeyValue(int index) {
        if (index >= readResults.size() || readResults.get(index).isEmpty()) {
            return null;
        }
        return readResults.get(index).get(0);
    }
}
