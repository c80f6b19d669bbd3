package org.lycheeroad.state.work;

import java.util.List;

/**
 * What a caller asks for: steps of tasks, once or at regular times.
 *
 * @param spec the text that each task receives
 * @param steps the steps in the caller's order
 * @param repeatCount how many times the steps run; 0 for once, at once
 * @param startAtMs when the first occurrence is due, in milliseconds since 1970
 * @param intervalMs the time between two occurrences in milliseconds
 */
public record JobPlan(
        String spec, List<StepPlan> steps, int repeatCount, long startAtMs, long intervalMs) {
    public JobPlan {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job must have at least one step");
        }
        for (int i = 0; i < steps.size(); i++) {
            for (int before : steps.get(i).after()) {
                if (before < 0 || before >= i) {
                    throw new IllegalArgumentException(
                            "step " + i + " must come after earlier steps only, not " + before);
                }
            }
        }
    }

    /** Returns whether the job runs at set times. */
    public boolean isTimed() {
        return repeatCount > 0;
    }

    /** Returns the number of times that the steps run. */
    public int occurrences() {
        return Math.max(1, repeatCount);
    }

    /** Returns when an occurrence is due in milliseconds since 1970; 0 for a job without times. */
    public long dueAtMs(int occurrence) {
        return isTimed() ? startAtMs + occurrence * intervalMs : 0;
    }
}
