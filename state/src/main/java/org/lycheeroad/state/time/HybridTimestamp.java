package org.lycheeroad.state.time;

/**
 * A hybrid logical timestamp.
 *
 * @param millis wall-clock time in milliseconds
 * @param counter orders events within the same millisecond
 */
public record HybridTimestamp(long millis, int counter) implements Comparable<HybridTimestamp> {
    @Override
    public int compareTo(HybridTimestamp other) {
        int order = Long.compare(millis, other.millis);
        return order != 0 ? order : Integer.compare(counter, other.counter);
    }
}
