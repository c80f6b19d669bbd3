package org.lycheeroad.standins.targets;

import java.util.ArrayList;
import java.util.List;

/** Thread-safe log of all executions that targets have started. */
final class ExecutionLog {
    private final List<Execution> mExecutions = new ArrayList<>();

    synchronized int begin(Execution execution) {
        mExecutions.add(execution);
        return mExecutions.size() - 1;
    }

    synchronized void end(int index, long endMs) {
        mExecutions.set(index, mExecutions.get(index).endedAt(endMs));
    }

    synchronized List<Execution> all() {
        return List.copyOf(mExecutions);
    }
}
