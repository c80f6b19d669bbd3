package org.lycheeroad.state.id;

/** Identifies a kind of work, such as a layout check or a design render. */
public record KindId(String value) implements Comparable<KindId> {
    public KindId {
        Ids.requireValid(value);
    }

    @Override
    public int compareTo(KindId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
