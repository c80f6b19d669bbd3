package org.lycheeroad.state.id;

/** Identifies a job. */
public record JobId(String value) implements Comparable<JobId> {
    public JobId {
        Ids.requireValid(value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
