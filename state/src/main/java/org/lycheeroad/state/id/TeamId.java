package org.lycheeroad.state.id;

/** Identifies a team, the customer to which guarantees, weights and limits apply. */
public record TeamId(String value) implements Comparable<TeamId> {
    public TeamId {
        Ids.requireValid(value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
