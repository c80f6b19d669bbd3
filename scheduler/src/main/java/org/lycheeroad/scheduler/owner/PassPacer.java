package org.lycheeroad.scheduler.owner;

/**
 * Spaces scheduling passes so that they take at most about half of the owner's time.
 *
 * <p>Otherwise, each of the reports that arrive together after an owner change would be followed by
 * a pass over all workers, and the last report would wait for all of these passes.
 */
final class PassPacer {
    /** The longest pause after a pass. */
    private static final long MAX_PAUSE_MS = 50;

    private long mNextPassAtMs = Long.MIN_VALUE / 2;

    /** Returns how long to wait before the next pass; 0 if it may begin. */
    long delayMs(long nowMs) {
        return Math.max(0, mNextPassAtMs - nowMs);
    }

    /** Records a pass; the next one follows after a pause of the same length. */
    void onPass(long startedAtMs, long endedAtMs) {
        mNextPassAtMs = endedAtMs + Math.min(MAX_PAUSE_MS, endedAtMs - startedAtMs);
    }
}
