package org.lycheeroad.coordination.retry;

import java.util.Random;

/** Exponential back-off with jitter for attempts that exceed a retry budget. */
public final class Backoff {
    private static final long INITIAL_PAUSE_MICROS = 20_000;
    private static final int MAX_DOUBLINGS = 6;

    private Backoff() {}

    /** Returns the pause in microseconds after the given number of attempts. */
    public static long pauseMicros(int attempts, Random random) {
        long maxPauseMicros =
                INITIAL_PAUSE_MICROS << Math.max(0, Math.min(attempts - 1, MAX_DOUBLINGS));
        return maxPauseMicros / 2 + (long) (random.nextDouble() * maxPauseMicros / 2);
    }
}
