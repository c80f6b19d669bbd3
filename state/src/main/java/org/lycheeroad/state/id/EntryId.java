package org.lycheeroad.state.id;

/** Identifies one entry daemon. */
public record EntryId(String value) implements Comparable<EntryId> {
    public EntryId {
        Ids.requireValid(value);
    }

    @Override
    public int compareTo(EntryId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
