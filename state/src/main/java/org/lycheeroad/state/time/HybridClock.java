package org.lycheeroad.state.time;

/**
 * A hybrid logical clock: its timestamps increase strictly, also relative to all received ones.
 *
 * <p>Wall-clock readings are passed in by the caller. Instances are thread-safe.
 */
public final class HybridClock {
    private HybridTimestamp mLatest = new HybridTimestamp(0, 0);

    /** Returns the timestamp of a local event at the given wall-clock time in milliseconds. */
    public synchronized HybridTimestamp next(long wallClockMs) {
        mLatest =
                wallClockMs > mLatest.millis()
                        ? new HybridTimestamp(wallClockMs, 0)
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
