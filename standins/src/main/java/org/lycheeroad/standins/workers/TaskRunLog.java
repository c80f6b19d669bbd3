package org.lycheeroad.standins.workers;

import java.util.ArrayList;
import java.util.List;

/** Thread-safe log of all task runs. */
final class TaskRunLog {
    private final List<TaskRun> mRuns = new ArrayList<>();

    synchronized int begin(TaskRun run) {
        mRuns.add(run);
        return mRuns.size() - 1;
    }

    synchronized void end(int index, long endMs, String outcome) {
        mRuns.set(index, mRuns.get(index).endedAt(endMs, outcome));
    }

    synchronized List<TaskRun> all() {
        return List.copyOf(mRuns);
    }
}
