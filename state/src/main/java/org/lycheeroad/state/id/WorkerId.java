package org.lycheeroad.state.id;

/** Identifies a worker, a machine that runs tasks. */
public record WorkerId(String value) implements Comparable<WorkerId> {
    public WorkerId {
        Ids.requireValid(value);
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
