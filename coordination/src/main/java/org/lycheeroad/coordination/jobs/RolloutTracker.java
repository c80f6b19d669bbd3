package org.lycheeroad.coordination.jobs;

/**
 * Tells which workers are likely to be replaced soon: those with an older software version while a
 * rollout replaces one worker after the other.
 */
final class RolloutTracker {
    /** How long after the last new worker a rollout counts as over. */
    private static final long ROLLOUT_MS = 30_000;

    private String mNewestVersion = "";
    private long mNewestIncarnation = Long.MIN_VALUE;
    private long mNewestSeenAtMs = Long.MIN_VALUE / 2;

    /** Handles the directory entry of a worker. */
    void onEntry(Worker worker, long nowMs) {
        if (worker.entry.incarnationStartMs() > mNewestIncarnation) {
            mNewestIncarnation = worker.entry.incarnationStartMs();
            mNewestVersion = worker.entry.softwareVersion();
            mNewestSeenAtMs = nowMs;
        }
    }

    /** Returns whether a worker is likely to be replaced soon. */
    boolean isOutdated(Worker worker, long nowMs) {
        return nowMs - mNewestSeenAtMs < ROLLOUT_MS
                && !worker.entry.softwareVersion().equals(mNewestVersion);
    }
}
