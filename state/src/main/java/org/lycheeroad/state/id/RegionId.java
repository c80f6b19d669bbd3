package org.lycheeroad.state.id;

/** Identifies a region. */
public record RegionId(String value) implements Comparable<RegionId> {
    public RegionId {
        Ids.requireValid(value);
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
