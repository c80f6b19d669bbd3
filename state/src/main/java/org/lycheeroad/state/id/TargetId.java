package org.lycheeroad.state.id;

/** Identifies a target, a backend server that answers requests. */
public record TargetId(String value) implements Comparable<TargetId> {
    public TargetId {
        Ids.requireValid(value);
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
