package org.lycheeroad.coordination.jobs;

import org.lycheeroad.coordination.overload.Verdict;

/** Ranks ready steps and decides how long they wait for workers on which they run at full speed. */
interface SchedulingOrder {
    /** The rank of a step; lower ranks come first. Times are compared within a tier. */
    record Rank(int tier, long timeMs) implements Comparable<Rank> {
        @Override
        public int compareTo(Rank other) {
            int byTier = Integer.compare(tier, other.tier);
            return byTier != 0 ? byTier : Long.compare(timeMs, other.timeMs);
        }
    }

    /**
     * Returns the rank of a step.
     *
     * @param guaranteed whether the step is the first of a job within its team's guarantee
     */
    Rank rank(StepInstance step, boolean guaranteed, long nowMs, long wallMs);

    /**
     * Returns the rank of a step that cannot end in time, or not even usefully, because others need
     * the room.
     */
    Rank rankBehind(StepInstance step, Verdict verdict, long nowMs, long wallMs);

    /** Returns whether a step should no longer wait for the rack of its data, or for one rack. */
    boolean shouldRunRemotely(StepInstance step, double remoteFactor, long nowMs, long wallMs);

    /** Returns the latest start of a step with which its job is expected to end in time. */
    long latestStartMs(StepInstance step, long nowMs, long wallMs);

    /** Returns the latest end of a step's occurrence of its job within the objective. */
    long objectiveEndMs(StepInstance step, long nowMs, long wallMs);

    /** Returns the latest end at which the result of that occurrence is still useful. */
    long lastUsefulEndMs(StepInstance step, long nowMs, long wallMs);

    /** Returns the time within which a job should end. */
    long objectiveMs(Job job);
}
