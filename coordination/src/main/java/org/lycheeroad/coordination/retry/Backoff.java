package org.lycheeroad.coordination.retry;

import java.util.Random;

/** Spreads out the attempts that exceed a retry budget. */
public final class Backoff {
    private static final long INITIAL_PAUSE_MICROS = 20_000;
    private static final int MAX_DOUBLINGS = 6;

    private Backoff() {}

    /** Returns the pause in microseconds after the given number of attempts, with jitter. */
    public static long pauseMicros(int attempts, Random random) {
        long longest = INITIAL_PAUSE_MICROS << Math.max(0, Math.min(attempts - 1, MAX_DOUBLINGS));
        return longest / 2 + (long) (random.nextDouble() * longest / 2);
    }
}
