package org.lycheeroad.coordination.jobs;

/** Weighs what callers gain and lose by the priority of their queues. */
final class PriorityWeights {
    /** How much a core-second counts in relation to one of the next lower priority. */
    private static final double LEVEL_FACTOR = 5;

    private static final int MAX_LEVEL = 8;

    private PriorityWeights() {}

    /** Returns the weight of a core-second of a priority, where 0 is urgent and weighs 1. */
    static double weightOf(int priority) {
        return Math.pow(LEVEL_FACTOR, -Math.max(0, Math.min(priority, MAX_LEVEL)));
    }
}
