package org.lycheeroad.transport.store;

/**
 * One entry's share of the store's call rates, and the limits on its queued and running calls.
 *
 * @param writesPerSecond the rate of transactions and lease calls
 * @param readsPerSecond the rate of range reads
 * @param maxInFlight the maximum number of calls that wait for a response; twice as many for urgent
 *     ones
 * @param maxQueued the maximum length of each queue; further calls are refused
 * @param maxQueueTimeMs the maximum time in the queue; calls queued for longer are refused
 */
public record StoreLimits(
        double writesPerSecond,
        double readsPerSecond,
        int maxInFlight,
        int maxQueued,
        long maxQueueTimeMs) {
    /**
     * Returns limits with which eight entries stay within 320 writes and 800 reads per second in
     * total.
     */
    public static StoreLimits defaults() {
        return new StoreLimits(40, 100, 16, 512, 2_000);
    }
}
