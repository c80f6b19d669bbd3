package org.lycheeroad.state.id;

/** Identifies a rack of workers. */
public record RackId(String value) implements Comparable<RackId> {
    public RackId {
        Ids.requireValid(value);
    }

    @Override
    public int compareTo(RackId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
