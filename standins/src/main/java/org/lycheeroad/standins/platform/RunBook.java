package org.lycheeroad.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records the runs of all stand-in executors and the broken promises that can be seen from them.
 */
public final class RunBook {
    private final Map<String, Integer> mRunning = new HashMap<>();
    private final Set<String> mDone = new HashSet<>();
    private final List<String> mBroken = new ArrayList<>();
    private int mStarts;

    synchronized void onStart(String task) {
        mStarts++;
        if (mRunning.merge(task, 1, Integer::sum) > 1) {
            mBroken.add(task + " runs twice at once");
        }
        if (mDone.contains(task)) {
            mBroken.add(task + " starts after its end was noted");
        }
    }

    synchronized void onEnd(String task) {
        mRunning.merge(task, -1, Integer::sum);
    }

    synchronized void onDoneNoted(String task) {
        mDone.add(task);
    }

    /** Returns the number of runs that began. */
    public synchronized int starts() {
        return mStarts;
    }

    /** Returns the number of tasks whose success was noted. */
    public synchronized int done() {
        return mDone.size();
    }

    /** Returns the promises that were broken. */
    public synchronized List<String> broken() {
        return List.copyOf(mBroken);
    }
}
