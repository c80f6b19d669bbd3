package org.lycheeroad.transport.store;

/**
 * The limits on one entry's calls of the store.
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
