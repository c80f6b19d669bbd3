package org.lycheeroad.protocol.store;

import java.util.List;

/** The result of a transaction; {@code reads} has one list per operation, empty for writes. */
public record TxnResponse(boolean succeeded, long revision, List<List<KeyValue>> readResults) {
    /** Returns the key that the operation at the index read, or null if it is absent. */
    public KeyValue firstKeyValue(int index) {
        if (index >= readResults.size() || readResults.get(index).isEmpty()) {
            return null;
        }
        return readResults.get(index).get(0);
    }
}
