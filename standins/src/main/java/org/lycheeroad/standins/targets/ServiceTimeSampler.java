package org.lycheeroad.standins.targets;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Determines the run time of requests: the value in the body, if any, else a sample from a seeded
 * log-normal distribution per kind.
 */
final class ServiceTimeSampler {
    private static final Pattern WORK_MS_PATTERN = Pattern.compile("work-ms=(\\d{1,7})");
    private static final int MIN_MEDIAN_MS = 5;
    private static final int MEDIAN_RANGE_MS = 20;

    /** Standard deviation of the logarithm of run times. */
    private static final double LOG_STANDARD_DEVIATION = 0.5;

    /** Probability that a request takes {@link #STRAGGLER_FACTOR} times as long. */
    private static final double STRAGGLER_PROBABILITY = 0.01;

    private static final int STRAGGLER_FACTOR = 10;

    private final long mSeed;
    private final Map<String, Random> mRandomByKind = new HashMap<>();

    ServiceTimeSampler(long seed) {
        mSeed = seed;
    }

    /** Returns the run time of a request, in milliseconds. */
    synchronized long sampleMs(String kind, String body) {
        Matcher matcher = WORK_MS_PATTERN.matcher(body);
        if (matcher.find()) {
            return Long.parseLong(matcher.group(1));
        }
        Random random = mRandomByKind.computeIfAbsent(kind, k -> new Random(mSeed ^ k.hashCode()));
        int medianMs = MIN_MEDIAN_MS + Math.floorMod(kind.hashCode(), MEDIAN_RANGE_MS);
        double factor = Math.exp(random.nextGaussian() * LOG_STANDARD_DEVIATION);
        if (random.nextDouble() < STRAGGLER_PROBABILITY) {
            factor *= STRAGGLER_FACTOR;
        }
        return Math.max(1, Math.round(medianMs * factor));
    }
}
