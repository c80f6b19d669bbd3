package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.List;

/** Learns how long a stopped run keeps its resources. */
final class StopLatency {
    /** What is assumed before the first stop. */
    private static final double INITIAL_MS = 400;

    /** How much the newest stop counts in the average. */
    private static final double NEWEST_WEIGHT = 0.2;

    /** The longest time that is learned; a silent worker says nothing about others. */
    private static final long MAX_MS = 3_000;

    private final List<Run> mStopping = new ArrayList<>();
    private double mExpectedMs = INITIAL_MS;

    /** Adds a run that was stopped. */
    void add(Run run) {
        if (run.phase == Run.Phase.STOPPING) {
            mStopping.add(run);
        }
    }

    /** Takes note of the runs that have ended since the last call. */
    void observe(long nowMs) {
        mStopping.removeIf(
                run -> {
                    long tookMs = nowMs - run.firstStopSentAtMs;
                    boolean ended = !run.worker.runs.containsValue(run);
                    if (ended && tookMs <= MAX_MS) {
                        mExpectedMs += NEWEST_WEIGHT * (tookMs - mExpectedMs);
                    }
                    return ended || tookMs > MAX_MS;
                });
    }

    /** Returns the expected time from a stop order until the resources are free. */
    long expectedMs() {
        return Math.round(mExpectedMs);
    }
}
