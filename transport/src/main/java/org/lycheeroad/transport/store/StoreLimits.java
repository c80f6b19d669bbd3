package org.lycheeroad.transport.store;

/**
 * The share of the store's rates that one entry uses.
 *
 * @param writesPerSecond transactions, lease calls
 * @param readsPerSecond range reads and starts of a watch
 * @param maxInFlight calls that wait for an answer at the same time
 * @param maxQueued calls that wait for the rate; more are refused
 * @param maxQueueTimeMs calls that waited longer are refused
 */
public record StoreLimits(
        double writesPerSecond,
        double readsPerSecond,
        int maxInFlight,
        int maxQueued,
        long maxQueueTimeMs) {
    /** Returns limits with which eight entries stay below 320 writes and 800 reads a second. */
    public static StoreLimits defaults() {
        return new StoreLimits(40, 100, 16, 512, 2_000);
    }
}
