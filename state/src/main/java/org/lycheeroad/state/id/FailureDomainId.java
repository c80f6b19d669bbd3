package org.lycheeroad.state.id;

/** Identifies a failure domain inside a region. */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {
    public FailureDomainId {
        Ids.requireValid(value);
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
