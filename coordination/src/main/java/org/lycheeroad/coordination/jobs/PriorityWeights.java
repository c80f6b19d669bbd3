package org.lycheeroad.coordination.jobs;

/**
 * Weighs what callers gain and lose by the priority of their queues.
 *
 * <p>Someone waits for an urgent job, which is short; so the same work serves more callers there.
 */
final class PriorityWeights {
    /** How much a core-second of the priority after urgent counts, in urgent core-seconds. */
    private static final double NOT_URGENT = 0.1;

    /** How much a core-second counts in relation to one of the priority before, after that. */
    private static final double LEVEL_FACTOR = 0.5;

    private static final int MAX_LEVEL = 8;

    private PriorityWeights() {}

    /** Returns the weight of a core-second of a priority, where 0 is urgent and weighs 1. */
    static double weightOf(int priority) {
        return priority <= 0
                ? 1
                : NOT_URGENT * Math.pow(LEVEL_FACTOR, Math.min(priority, MAX_LEVEL) - 1);
    }
}
