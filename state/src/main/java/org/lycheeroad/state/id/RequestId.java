package org.lycheeroad.state.id;

/** Identifies a request that is forwarded to a target. */
public record RequestId(String value) implements Comparable<RequestId> {
    public RequestId {
        Ids.requireValid(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
