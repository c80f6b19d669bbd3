package org.lycheeroad.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records the runs of all stand-in executors and detects violations of the execution guarantees: a
 * task that runs twice at the same time, or that starts after its success was acknowledged.
 */
public final class RunRecorder {
    private final Map<String, Integer> mActiveCounts = new HashMap<>();
    private final Set<String> mAcknowledgedTasks = new HashSet<>();
    private final List<String> mViolations = new ArrayList<>();
    private int mStartCount;

    synchronized void onStart(String task) {
        mStartCount++;
        if (mActiveCounts.merge(task, 1, Integer::sum) > 1) {
            mViolations.add(task + " runs twice at once");
        }
        if (mAcknowledgedTasks.contains(task)) {
            mViolations.add(task + " starts after its success was acknowledged");
        }
    }

    synchronized void onEnd(String task) {
        mActiveCounts.merge(task, -1, Integer::sum);
    }

    synchronized void onSuccessAcknowledged(String task) {
        mAcknowledgedTasks.add(task);
    }

    /** Returns the number of runs that were started. */
    public synchronized int startCount() {
        return mStartCount;
    }

    /** Returns the number of tasks whose success was acknowledged. */
    public synchronized int acknowledgedCount() {
        return mAcknowledgedTasks.size();
    }

    /** Returns a description of each violation. */
    public synchronized List<String> violations() {
        return List.copyOf(mViolations);
    }
}
