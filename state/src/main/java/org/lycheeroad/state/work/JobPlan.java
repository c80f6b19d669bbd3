package org.lycheeroad.state.work;

import java.util.List;

/**
 * A job as submitted by a caller: steps of tasks that run once or at a fixed interval.
 *
 * @param spec the text that each task receives
 * @param steps the steps in the caller's order
 * @param repeatCount the number of scheduled occurrences; 0 to run the steps once, immediately
 * @param startAtMs the due time of the first occurrence, in milliseconds since 1970
 * @param intervalMs the interval between occurrences in milliseconds
 */
public record JobPlan(
        String spec, List<StepPlan> steps, int repeatCount, long startAtMs, long intervalMs) {
    public JobPlan {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job must have at least one step");
        }
        for (int i = 0; i < steps.size(); i++) {
            for (int dependency : steps.get(i).after()) {
                if (dependency < 0 || dependency >= i) {
                    throw new IllegalArgumentException(
                            "step "
                                    + i
                                    + " may depend only on earlier steps, not on step "
                                    + dependency);
                }
            }
        }
    }

    /** Returns whether the job runs at scheduled times. */
    public boolean isTimed() {
        return repeatCount > 0;
    }

    /** Returns the number of occurrences, at least 1. */
    public int occurrences() {
        return Math.max(1, repeatCount);
    }

    /**
     * Returns the due time of an occurrence in milliseconds since 1970; 0 if it is not scheduled.
     */
    public long dueAtMs(int occurrence) {
        return isTimed() ? startAtMs + occurrence * intervalMs : 0;
    }
}
