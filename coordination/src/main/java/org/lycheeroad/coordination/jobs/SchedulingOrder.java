package org.lycheeroad.coordination.jobs;

/** In which order waiting steps are served, and until when they wait for a good place. */
interface SchedulingOrder {
    /** The rank of a step; lower comes first. */
    record Rank(int tier, long timeMs) implements Comparable<Rank> {
        @Override
        public int compareTo(Rank other) {
            int byTier = Integer.compare(tier, other.tier);
            return byTier != 0 ? byTier : Long.compare(timeMs, other.timeMs);
        }
    }

    Rank rank(StepInstance step, boolean guaranteed, long nowMs, long wallMs);

    /** Returns whether a step should give up waiting for a place near its data or on one rack. */
    boolean shouldRunRemotely(StepInstance step, double remoteFactor, long nowMs, long wallMs);

    /** Returns the latest start of a step with which its job still ends in time. */
    long latestStartMs(StepInstance step, long nowMs, long wallMs);

    /** Returns the time within which a job should end, in milliseconds. */
    long objectiveMs(Job job);
}
