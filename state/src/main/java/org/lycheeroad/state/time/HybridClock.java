package org.lycheeroad.state.time;

/**
 * Issues hybrid logical timestamps that never go back and follow every timestamp received.
 *
 * <p>Wall-clock readings are passed in by the caller. Instances are safe for use by many threads.
 */
public final class HybridClock {
    private HybridTimestamp mLatest = new HybridTimestamp(0, 0);

    /** Returns the timestamp of a local event at the given wall-clock time in milliseconds. */
    public synchronized HybridTimestamp next(long wallMillis) {
        mLatest =
                wallMillis > mLatest.millis()
                        ? new HybridTimestamp(wallMillis, 0)
                        : new HybridTimestamp(mLatest.millis(), mLatest.counter() + 1);
        return mLatest;
    }

    /** Advances past a timestamp received from another process. */
    public synchronized void observe(HybridTimestamp received) {
        if (received.compareTo(mLatest) > 0) {
            mLatest = received;
        }
    }
}
